import {type Clock} from '../../base/common/clock.js';
import {type HostId} from '../../contracts/ids.js';
import {sumDemand, type DemandSum, type HostDemand} from './host-demand.js';

/** Collaborators of the collector. */
export type DemandCollectorOptions = {
	readonly clock: Clock;
};

type TimedDemand = {readonly demand: HostDemand; readonly receivedAt: number};

/** Time after which the demand of a host expires unless the host reports again. */
const demandLifetimeMilliseconds = 3000;

/** Keeps the last report of each host and adds the reports up. */
export class DemandCollector {
	private readonly reports = new Map<HostId, TimedDemand>();

	constructor(private readonly options: DemandCollectorOptions) {}

	/** Replaces the last report of a host. */
	apply(demand: HostDemand): void {
		this.reports.set(demand.host, {
			demand,
			receivedAt: this.options.clock.monotonic(),
		});
	}

	/** Number of hosts whose reports have not expired. */
	get reporterCount(): number {
		return this.current().length;
	}

	/** True when a report of the host would keep the number of hosts in all reports below a maximum. */
	hasRoomFor(host: HostId, maximumHosts: number): boolean {
		const {members} = this.sum();
		return members.includes(host) || members.length < maximumHosts;
	}

	/** Adds up the reports that have not expired. */
	sum(): DemandSum {
		return sumDemand(this.current());
	}

	/** Adds the reports of other hosts to the demand of this host. */
	mergeWith(own: HostDemand): HostDemand {
		const others = this.current().filter(({host}) => host !== own.host);
		return {
			host: own.host,
			...sumDemand([{demand: own, ageMilliseconds: 0}, ...others]),
		};
	}

	private current() {
		const now = this.options.clock.monotonic();
		return [...this.reports].flatMap(([host, {demand, receivedAt}]) => {
			const ageMilliseconds = now - receivedAt;
			if (ageMilliseconds >= demandLifetimeMilliseconds) {
				this.reports.delete(host);
				return [];
			}

			return [{host, demand, ageMilliseconds}];
		});
	}
}
