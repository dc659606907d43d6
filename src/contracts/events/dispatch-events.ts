import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about queueing, routing and admission. Numbers 3000 to 3999. */
export const dispatchEvents = {} as const satisfies Record<
	string,
	LogEventDefinition
>;
