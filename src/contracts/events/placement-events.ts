import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about placement, orders and target memory. Numbers 4000 to 4999. */
export const placementEvents = {} as const satisfies Record<
	string,
	LogEventDefinition
>;
