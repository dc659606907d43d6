import {type Clock} from '../../base/common/clock.js';

/** Time for which a host that no longer reports may go on with its part of the quota. */
const absenceMilliseconds = 30_000;

/** The largest number of hosts of the last time. Hosts that are cut off are not counted, but may still send requests. */
export class FullHostCount {
	private count = 0;
	private countAt = 0;

	constructor(
		private readonly clock: Clock,
		private readonly hostCount: () => number,
	) {}

	/** Returns the number of hosts, those included that have not reported lately. */
	current(): number {
		const now = this.clock.monotonic();
		const hosts = Math.max(1, this.hostCount());
		if (hosts >= this.count || now - this.countAt >= absenceMilliseconds) {
			this.count = hosts;
			this.countAt = now;
		}

		return this.count;
	}
}
