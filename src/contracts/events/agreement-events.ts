import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about the log service, leases, snapshots and membership. Numbers 1000 to 1999. */
export const agreementEvents = {
	appendFailed: {
		number: 1001,
		name: 'append-failed',
		level: 'warn',
		description:
			'The log service did not confirm an append. The append is retried with the same record ids until its deadline.',
	},
	appendAbandoned: {
		number: 1002,
		name: 'append-abandoned',
		level: 'error',
		description:
			'The log service did not confirm an append before its deadline. The records may still be in the log. Check the log service.',
	},
	logOutageStarted: {
		number: 1010,
		name: 'log-outage-started',
		level: 'warn',
		description:
			'The log service does not respond to reads. The host keeps serving and reads records from its peers.',
	},
	logOutageEnded: {
		number: 1011,
		name: 'log-outage-ended',
		level: 'info',
		description: 'The log service responds to reads again.',
	},
	logTruncated: {
		number: 1012,
		name: 'log-truncated',
		level: 'warn',
		description:
			'The log no longer retains the next record that this host has to read. The host restores a newer snapshot.',
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
			'No snapshot could be restored, and the log no longer retains the records that would replace it. The host retries and is not ready until it succeeds.',
	},
	recordsFetched: {
		number: 1015,
		name: 'records-fetched',
		level: 'info',
		description:
			'Records were fetched from a peer during an outage of the log service.',
	},
	recordIgnored: {
		number: 1016,
		name: 'record-ignored',
		level: 'debug',
		description:
			'A record was not applied to the control state. The fields code and reason say why.',
	},
	documentAccepted: {
		number: 1017,
		name: 'document-accepted',
		level: 'info',
		description: 'A new document is in force on this host.',
	},
	leaseAcquired: {
		number: 1020,
		name: 'lease-acquired',
		level: 'info',
		description: 'This host acquired a lease.',
	},
	leaseLost: {
		number: 1021,
		name: 'lease-lost',
		level: 'info',
		description:
			'This host no longer holds a lease. The field reason says why.',
	},
	hostPaused: {
		number: 1022,
		name: 'host-paused',
		level: 'warn',
		description:
			'The process was paused for longer than the interval between lease renewals. It does not rely on its leases until it has read their state from the log.',
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
		description: 'A snapshot could not be written. The host retries later.',
	},
	peerRefused: {
		number: 1040,
		name: 'peer-refused',
		level: 'warn',
		description:
			'A call from another host was refused because it did not carry the shared secret of the fleet. Check the settings of the calling host.',
	},
	peerServerFailed: {
		number: 1041,
		name: 'peer-server-failed',
		level: 'error',
		description:
			'The server for calls of other hosts could not start listening or failed to process a call.',
	},
	memberChanged: {
		number: 1050,
		name: 'member-changed',
		level: 'info',
		description: 'The status of another host changed.',
	},
	hostIsolated: {
		number: 1051,
		name: 'host-isolated',
		level: 'error',
		description:
			'This host reaches neither the log service nor a peer. It refuses new requests, because its document may be out of date.',
	},
	hostReconnected: {
		number: 1052,
		name: 'host-reconnected',
		level: 'info',
		description: 'This host reaches the log service or a peer again.',
	},
	hostSuperseded: {
		number: 1053,
		name: 'host-superseded',
		level: 'error',
		description:
			'Another process started later with the same host id. Give each host its own id.',
	},
} as const satisfies Record<string, LogEventDefinition>;
