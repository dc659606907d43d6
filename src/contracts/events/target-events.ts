import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about targets, connections and streams. Numbers 2000 to 2999. */
export const targetEvents = {} as const satisfies Record<
	string,
	LogEventDefinition
>;
