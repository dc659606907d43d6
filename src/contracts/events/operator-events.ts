import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about operators, settings and the program itself. Numbers 5000 to 5999. */
export const operatorEvents = {
	hostStarted: {
		number: 5001,
		name: 'host-started',
		level: 'info',
		description:
			'The host listens. The fields name the ports for callers, operators and peers.',
	},
	hostStopping: {
		number: 5002,
		name: 'host-stopping',
		level: 'info',
		description:
			'A planned stop began: the host takes no new work and waits for running requests.',
	},
	hostStopped: {
		number: 5003,
		name: 'host-stopped',
		level: 'info',
		description: 'The host stopped.',
	},
	operatorUnauthenticated: {
		number: 5101,
		name: 'operator-unauthenticated',
		level: 'warn',
		description:
			'A call to /operator/ carried no token or an unknown one. Check the token digests in the settings; many of these can mean an attack.',
	},
	operatorRequestFailed: {
		number: 5102,
		name: 'operator-request-failed',
		level: 'error',
		description:
			'A call to the operators’ listener failed in a way that is not foreseen. Report it with the field error.',
	},
	documentSubmitted: {
		number: 5201,
		name: 'document-submitted',
		level: 'info',
		description: 'An operator submitted a document and it is in force.',
	},
	documentConflict: {
		number: 5202,
		name: 'document-conflict',
		level: 'warn',
		description:
			'A document was refused because another operator was first. Show the document in force, apply the change to it and submit again.',
	},
	documentInvalid: {
		number: 5203,
		name: 'document-invalid',
		level: 'warn',
		description: 'A document was refused by the checks.',
	},
	documentNotRecorded: {
		number: 5204,
		name: 'document-not-recorded',
		level: 'error',
		description:
			'The log service did not confirm a document. It can still take effect: read the history before submitting again.',
	},
	ordersSettledByOperator: {
		number: 5301,
		name: 'orders-settled-by-operator',
		level: 'warn',
		description:
			'An operator declared open orders settled. Their memory is no longer charged.',
	},
} as const satisfies Record<string, LogEventDefinition>;
