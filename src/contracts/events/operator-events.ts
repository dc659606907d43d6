import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about operators, settings and the program itself. Numbers 5000 to 5999. */
export const operatorEvents = {} as const satisfies Record<
	string,
	LogEventDefinition
>;
