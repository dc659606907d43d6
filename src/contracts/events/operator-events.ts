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
} as const satisfies Record<string, LogEventDefinition>;
