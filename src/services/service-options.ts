import {type Clock} from '../base/common/clock.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {type MetricRegistry} from '../base/common/metric-registry.js';
import {type RandomSource} from '../base/common/random-source.js';

/** Dependencies that services share, in addition to their own. */
export type ServiceOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
};
