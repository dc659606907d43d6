import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about forwarded requests, the shared store and the owner of placement. Numbers 7000 to 7999. */
export const forwardingEvents = {
	hostStarted: {
		number: 7000,
		name: 'forwarding-started',
		level: 'info',
		description: 'The process listens. It is ready once it has a document.',
	},
	hostReady: {
		number: 7001,
		name: 'forwarding-ready',
		level: 'info',
		description: 'The process has a document and a list of targets.',
	},
	hostStopping: {
		number: 7002,
		name: 'forwarding-stopping',
		level: 'info',
		description:
			'The process was told to stop. It is no longer ready and serves what arrives until it ends.',
	},
	hostStopped: {
		number: 7003,
		name: 'forwarding-stopped',
		level: 'info',
		description: 'The process ends.',
	},
	settingsReloaded: {
		number: 7004,
		name: 'settings-reloaded',
		level: 'info',
		description: 'The settings file was read again.',
	},
	settingsRejected: {
		number: 7005,
		name: 'settings-rejected',
		level: 'error',
		description:
			'The settings file has errors after a change. The settings so far stay in force.',
	},
	documentApplied: {
		number: 7010,
		name: 'document-applied',
		level: 'info',
		description: 'A newer version of the document is in force.',
	},
	documentUnreadable: {
		number: 7011,
		name: 'document-unreadable',
		level: 'error',
		description:
			'A version of the document cannot be read. The version so far stays in force.',
	},
	targetListed: {
		number: 7012,
		name: 'target-listed',
		level: 'info',
		description: 'A target came, started again, or changed its state.',
	},
	targetUnlisted: {
		number: 7013,
		name: 'target-unlisted',
		level: 'info',
		description: 'A target is no longer listed and gets no new work.',
	},
	targetEntryMalformed: {
		number: 7014,
		name: 'target-entry-malformed',
		level: 'warn',
		description:
			'An entry of the list of targets cannot be read. It names no target to use.',
	},
	storeLost: {
		number: 7020,
		name: 'store-lost',
		level: 'warn',
		description:
			'A read of the shared store failed. Serving goes on with what is known.',
	},
	storeRegained: {
		number: 7021,
		name: 'store-regained',
		level: 'info',
		description: 'The shared store answers again.',
	},
	historyLost: {
		number: 7022,
		name: 'store-history-lost',
		level: 'info',
		description:
			'The store has deleted records that were not read. The newest state is read as a whole.',
	},
	ownershipGained: {
		number: 7030,
		name: 'ownership-gained',
		level: 'info',
		description: 'This host holds the owner lease and gives orders to targets.',
	},
	ownershipLost: {
		number: 7031,
		name: 'ownership-lost',
		level: 'info',
		description: 'This host no longer holds the owner lease.',
	},
	ownerChanged: {
		number: 7032,
		name: 'owner-changed',
		level: 'info',
		description: 'Another host holds the owner lease.',
	},
	ownerUnreachable: {
		number: 7033,
		name: 'owner-unreachable',
		level: 'warn',
		description:
			'The owner does not answer. This host reads the log of the lease and claims it when the owner is silent there too.',
	},
	orderGiven: {
		number: 7040,
		name: 'order-given',
		level: 'info',
		description: 'A target was told to load or unload.',
	},
	orderUnanswered: {
		number: 7041,
		name: 'sequenced-order-unanswered',
		level: 'warn',
		description:
			'A target did not answer an order. Its effect stays charged until the order is void.',
	},
	modelsPlanned: {
		number: 7042,
		name: 'models-planned',
		level: 'info',
		description: 'The models that targets are to hold changed.',
	},
	attemptSent: {
		number: 7050,
		name: 'attempt-sent',
		level: 'info',
		description: 'A request was sent to a target.',
	},
	attemptEnded: {
		number: 7051,
		name: 'attempt-ended',
		level: 'info',
		description: 'An attempt ended otherwise than with a whole answer.',
	},
	requestAnswered: {
		number: 7052,
		name: 'request-answered',
		level: 'info',
		description: 'A request got its final answer, or its connection ended.',
	},
	requestRejected: {
		number: 7053,
		name: 'request-rejected',
		level: 'info',
		description:
			'A request was answered without being queued, for example because no route matches.',
	},
	eventLoopStalled: {
		number: 7061,
		name: 'event-loop-stalled',
		level: 'info',
		description:
			'The process did nothing else for this time, and streams paused. Look for slow machines and long pauses of memory management.',
	},
	logLinesDropped: {
		number: 7060,
		name: 'log-lines-dropped',
		level: 'warn',
		description:
			'Log lines were dropped because they came faster than the bound or the reader.',
	},
} as const satisfies Record<string, LogEventDefinition>;
