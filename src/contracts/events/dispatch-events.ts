import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about queueing, routing and admission. Numbers 3000 to 3999. */
export const dispatchEvents = {
	callerLimitReached: {
		number: 3000,
		name: 'caller-limit-reached',
		level: 'info',
		description:
			'A request was refused because its caller has reached its limit on concurrent requests. Raise maximumConcurrent of the caller if the limit is too low.',
	},
	callerLimitExceeded: {
		number: 3001,
		name: 'caller-limit-exceeded',
		level: 'info',
		description:
			'A request above the limit of its caller was admitted because admission is in monitor mode.',
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
			'A target is slower than its peers and receives only probe requests. Check its machine if the condition persists.',
	},
	targetRestored: {
		number: 3011,
		name: 'target-restored',
		level: 'info',
		description:
			'A target is as fast as its peers again and receives requests.',
	},
	targetRefused: {
		number: 3012,
		name: 'target-refused',
		level: 'info',
		description: 'A target refused a request without executing it.',
	},
	attemptLost: {
		number: 3013,
		name: 'attempt-lost',
		level: 'warn',
		description:
			'The connection to a target was lost before its response was complete. The field execution says whether the request may have been executed.',
	},
	workDemoted: {
		number: 3020,
		name: 'work-demoted',
		level: 'debug',
		description:
			'A request that was expected to be short turned out to be long and is now treated as long.',
	},
	workDispatchedByAge: {
		number: 3021,
		name: 'work-dispatched-by-age',
		level: 'debug',
		description:
			'A request had waited longer than the age limit and was dispatched ahead of the queue order.',
	},
	requestHedged: {
		number: 3022,
		name: 'request-hedged',
		level: 'debug',
		description:
			'A second attempt of an idempotent request was started while the first is still in progress.',
	},
	retryBudgetSpent: {
		number: 3023,
		name: 'retry-budget-spent',
		level: 'warn',
		description:
			'A failed attempt was not retried because the retry budget is exhausted.',
	},
	suspectIsolated: {
		number: 3030,
		name: 'suspect-isolated',
		level: 'info',
		description:
			'A request that may have crashed a target was dispatched to a target on which no other request runs.',
	},
	workSchedulingChanged: {
		number: 3040,
		name: 'work-scheduling-changed',
		level: 'info',
		description:
			'A pool is scheduled by the expected work of its requests from now on, or no longer is. Depends on slots of the pool in the document and on scheduling.workAwareSlots in the settings.',
	},
} as const satisfies Record<string, LogEventDefinition>;
