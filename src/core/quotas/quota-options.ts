import {type Clock} from '../../base/common/clock.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type QuotaTolerance} from './quota-policy.js';

/** Collaborators of the quotas of one host. */
export type QuotaOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tolerance: QuotaTolerance;
	/** Hosts of the fleet. */
	readonly hostCount: () => number;
	/** The same with those that may have been cut off lately. */
	readonly fullHostCount: () => number;
};
