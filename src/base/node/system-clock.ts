import {performance} from 'node:perf_hooks';
import {Clock} from '../common/clock.js';

/** The clock of the system. */
export class SystemClock extends Clock {
	monotonic(): number {
		return performance.now();
	}

	wall(): number {
		return Date.now();
	}
}
