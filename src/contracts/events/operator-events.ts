import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about operators, settings and the program itself. Numbers 5000 to 5999. */
export const operatorEvents = {
	hostStarted: {
		number: 5001,
		name: 'host-started',
		level: 'info',
		description:
			'The host started listening. The fields contain the ports for callers, operators and peers.',
	},
	hostStopping: {
		number: 5002,
		name: 'host-stopping',
		level: 'info',
		description:
			'A planned stop began. The host accepts no new requests and waits for running ones.',
	},
	hostStopped: {
		number: 5003,
		name: 'host-stopped',
		level: 'info',
		description: 'The host completed its planned stop.',
	},
	operatorUnauthenticated: {
		number: 5101,
		name: 'operator-unauthenticated',
		level: 'warn',
		description:
			'A call to /operator/ carried no token or an unknown one. Check the token digests in the settings. Many of these events can indicate an attack.',
	},
	operatorRequestFailed: {
		number: 5102,
		name: 'operator-request-failed',
		level: 'error',
		description:
			'A call to the operators’ listener failed with an unexpected error. Report the fault with the content of the field error.',
	},
	documentSubmitted: {
		number: 5201,
		name: 'document-submitted',
		level: 'info',
		description: 'A document that an operator submitted is in force.',
	},
	documentConflict: {
		number: 5202,
		name: 'document-conflict',
		level: 'warn',
		description:
			'A document was refused because another operator changed the document first. Show the document in force, apply the change to it and submit it again.',
	},
	documentInvalid: {
		number: 5203,
		name: 'document-invalid',
		level: 'warn',
		description:
			'A document was refused because it is invalid. The response to the operator lists the problems.',
	},
	documentNotRecorded: {
		number: 5204,
		name: 'document-not-recorded',
		level: 'error',
		description:
			'The log service did not confirm a document. The document can still take effect: read the history before submitting it again.',
	},
	ordersSettledByOperator: {
		number: 5301,
		name: 'orders-settled-by-operator',
		level: 'warn',
		description:
			'An operator declared unsettled orders settled. Their memory is no longer reserved.',
	},
} as const satisfies Record<string, LogEventDefinition>;
