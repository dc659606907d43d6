import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about the log, leases, snapshots and membership. Numbers 1000 to 1999. */
export const agreementEvents = {} as const satisfies Record<
	string,
	LogEventDefinition
>;
