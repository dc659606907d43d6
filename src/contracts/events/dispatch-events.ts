import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about queueing, routing and admission. Numbers 3000 to 3999. */
export const dispatchEvents = {
	callerLimitReached: {
		number: 3000,
		name: 'caller-limit-reached',
		level: 'info',
		description:
			'A request was refused because its caller has reached its limit. Raise maximumConcurrent of the caller if the limit is too low.',
	},
	callerLimitExceeded: {
		number: 3001,
		name: 'caller-limit-exceeded',
		level: 'info',
		description:
			'A request above the limit of its caller was admitted, because the limits are in monitor mode.',
	},
	overloadRefused: {
		number: 3002,
		name: 'overload-refused',
		level: 'warn',
		description:
			'A request was refused because its estimated wait is too long for its deadline.',
	},
	deadlineRefused: {
		number: 3003,
		name: 'deadline-refused',
		level: 'warn',
		description:
			'A request was refused because it can no longer finish before its deadline.',
	},
	queueFull: {
		number: 3004,
		name: 'queue-full',
		level: 'error',
		description: 'A request was refused because the queue of its pool is full.',
	},
	targetEjected: {
		number: 3010,
		name: 'target-ejected',
		level: 'warn',
		description:
			'A target is slower than its peers and gets probes only. Check its machine if it stays so.',
	},
	targetRestored: {
		number: 3011,
		name: 'target-restored',
		level: 'info',
		description: 'A target is as fast as its peers again and gets work.',
	},
	targetRefused: {
		number: 3012,
		name: 'target-refused',
		level: 'info',
		description: 'A target refused work without running it.',
	},
	attemptLost: {
		number: 3013,
		name: 'attempt-lost',
		level: 'warn',
		description: 'The connection to a target broke while it ran a request.',
	},
	workDemoted: {
		number: 3020,
		name: 'work-demoted',
		level: 'debug',
		description: 'Work that was expected to be short turned out long.',
	},
	workDispatchedByAge: {
		number: 3021,
		name: 'work-dispatched-by-age',
		level: 'debug',
		description: 'Work past the age bound was dispatched ahead of its order.',
	},
	requestHedged: {
		number: 3022,
		name: 'request-hedged',
		level: 'debug',
		description: 'A second attempt of an idempotent request was started.',
	},
	retryBudgetSpent: {
		number: 3023,
		name: 'retry-budget-spent',
		level: 'warn',
		description:
			'A failed attempt was not repeated because the retry budget is spent.',
	},
	suspectIsolated: {
		number: 3030,
		name: 'suspect-isolated',
		level: 'info',
		description:
			'A request that may have killed a target runs alone on a target.',
	},
} as const satisfies Record<string, LogEventDefinition>;
