import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about callers, idempotency keys and quarantine. Numbers 6000 to 6999. */
export const entryEvents = {
	requestRefused: {
		number: 6001,
		name: 'request-refused',
		level: 'debug',
		description:
			'A request was refused before it was executed. The field code says why.',
	},
	requestFailed: {
		number: 6002,
		name: 'request-failed',
		level: 'warn',
		description: 'A request failed after it may have been executed.',
	},
	internalError: {
		number: 6003,
		name: 'internal-error',
		level: 'error',
		description:
			'A request handler failed with an unexpected error. Report the fault with the content of the field error.',
	},
	claimAbandoned: {
		number: 6010,
		name: 'claim-abandoned',
		level: 'warn',
		description:
			'The log service did not confirm the claim of an idempotency key in time. The call was refused and never dispatched. The claim is released if it appears in the log later.',
	},
	claimUnsettled: {
		number: 6011,
		name: 'claim-unsettled',
		level: 'warn',
		description:
			'The outcome of a call could not be recorded in the log. Further calls with the same idempotency key receive the code outcome-unknown.',
	},
	claimsCarried: {
		number: 6012,
		name: 'claims-carried',
		level: 'info',
		description:
			'Claims that are still in force were appended again before the log truncates their original records.',
	},
	claimsUnreadable: {
		number: 6013,
		name: 'claims-unreadable',
		level: 'warn',
		description:
			'The log stream of claims cannot be read. Calls that are not idempotent are refused until it can be read again.',
	},
	fingerprintQuarantined: {
		number: 6020,
		name: 'fingerprint-quarantined',
		level: 'warn',
		description:
			'A request was in flight on several targets when they died. Requests with its fingerprint are refused on all hosts for a limited time.',
	},
} as const satisfies Record<string, LogEventDefinition>;
