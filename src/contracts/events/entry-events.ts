import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about callers, idempotency keys and quarantine. Numbers 6000 to 6999. */
export const entryEvents = {
	requestRefused: {
		number: 6001,
		name: 'request-refused',
		level: 'debug',
		description:
			'A request was refused before it ran. The field code gives the reason.',
	},
	requestFailed: {
		number: 6002,
		name: 'request-failed',
		level: 'warn',
		description: 'A request failed after it may have run.',
	},
	internalError: {
		number: 6003,
		name: 'internal-error',
		level: 'error',
		description:
			'A handler failed in a way that is not foreseen. Report it with the field error.',
	},
	claimAbandoned: {
		number: 6010,
		name: 'claim-abandoned',
		level: 'warn',
		description:
			'The log did not confirm the claim of an idempotency key in time. The call was refused and never dispatched; the claim is released when it shows up.',
	},
	claimUnsettled: {
		number: 6011,
		name: 'claim-unsettled',
		level: 'warn',
		description:
			'The outcome of a call could not be recorded. Later tries of its key are told that the outcome is unknown.',
	},
	claimsCarried: {
		number: 6012,
		name: 'claims-carried',
		level: 'info',
		description:
			'Claims were appended anew before the log drops their first records.',
	},
	claimsUnreadable: {
		number: 6013,
		name: 'claims-unreadable',
		level: 'warn',
		description:
			'The stream of claims cannot be read. Calls that may not be repeated are refused until it can.',
	},
	fingerprintQuarantined: {
		number: 6020,
		name: 'fingerprint-quarantined',
		level: 'warn',
		description:
			'A request was in flight at several target deaths. It is refused on all hosts for a bounded time.',
	},
} as const satisfies Record<string, LogEventDefinition>;
