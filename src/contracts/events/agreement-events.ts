import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about the log, leases, snapshots and membership. Numbers 1000 to 1999. */
export const agreementEvents = {
	appendFailed: {
		number: 1001,
		name: 'append-failed',
		level: 'warn',
		description:
			'The log service did not confirm an append. It is repeated with the same record ids until the deadline.',
	},
	appendAbandoned: {
		number: 1002,
		name: 'append-abandoned',
		level: 'error',
		description:
			'Records were not confirmed before their deadline. They may still be in the log. Check the log service.',
	},
	logOutageStarted: {
		number: 1010,
		name: 'log-outage-started',
		level: 'warn',
		description:
			'The log service does not answer reads. The host keeps serving and catches up from peers.',
	},
	logOutageEnded: {
		number: 1011,
		name: 'log-outage-ended',
		level: 'info',
		description: 'The log service answers reads again.',
	},
	logTruncated: {
		number: 1012,
		name: 'log-truncated',
		level: 'warn',
		description:
			'The log no longer keeps the next record of this host. The host restores a newer snapshot.',
	},
	snapshotRestored: {
		number: 1013,
		name: 'snapshot-restored',
		level: 'info',
		description: 'The control state was restored from a snapshot.',
	},
	snapshotUnusable: {
		number: 1014,
		name: 'snapshot-unusable',
		level: 'error',
		description:
			'No snapshot could be restored, and the log does not keep the records before. The host retries and stays unready.',
	},
	recordsFetched: {
		number: 1015,
		name: 'records-fetched',
		level: 'info',
		description: 'Records were fetched from a peer during a log outage.',
	},
	recordIgnored: {
		number: 1016,
		name: 'record-ignored',
		level: 'debug',
		description: 'The fold ignored a record for the given reason.',
	},
	documentAccepted: {
		number: 1017,
		name: 'document-accepted',
		level: 'info',
		description: 'A document is in force on this host.',
	},
	leaseAcquired: {
		number: 1020,
		name: 'lease-acquired',
		level: 'info',
		description: 'This host holds a lease.',
	},
	leaseLost: {
		number: 1021,
		name: 'lease-lost',
		level: 'info',
		description: 'This host no longer holds a lease, for the given reason.',
	},
	hostPaused: {
		number: 1022,
		name: 'host-paused',
		level: 'warn',
		description:
			'The process did not run for longer than a lease tick. Its leases are unconfirmed until it has read them back.',
	},
	snapshotWritten: {
		number: 1030,
		name: 'snapshot-written',
		level: 'info',
		description: 'A snapshot of the control state was written.',
	},
	snapshotFailed: {
		number: 1031,
		name: 'snapshot-failed',
		level: 'warn',
		description: 'A snapshot could not be written. It is tried again later.',
	},
	peerRefused: {
		number: 1040,
		name: 'peer-refused',
		level: 'warn',
		description:
			'A call without the shared secret of the fleet was refused. Check the settings of the calling host.',
	},
	peerServerFailed: {
		number: 1041,
		name: 'peer-server-failed',
		level: 'error',
		description: 'The peer server could not answer a call or listen.',
	},
	memberChanged: {
		number: 1050,
		name: 'member-changed',
		level: 'info',
		description: 'Another host changed its status.',
	},
	hostIsolated: {
		number: 1051,
		name: 'host-isolated',
		level: 'error',
		description:
			'This host hears neither the log nor a peer. It refuses new work, because its document may be stale.',
	},
	hostReconnected: {
		number: 1052,
		name: 'host-reconnected',
		level: 'info',
		description: 'This host hears the log or a peer again.',
	},
	hostSuperseded: {
		number: 1053,
		name: 'host-superseded',
		level: 'error',
		description:
			'Another run with the same host id started later. Give each host its own id.',
	},
} as const satisfies Record<string, LogEventDefinition>;
