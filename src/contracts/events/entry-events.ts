import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about callers, idempotency keys and quarantine. Numbers 6000 to 6999. */
export const entryEvents = {} as const satisfies Record<
	string,
	LogEventDefinition
>;
