import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {type PoolName} from '../../../contracts/ids.js';
import {
	FleetQueue,
	type LevelKey,
	type QueueReport,
} from '../../../core/admission/fleet-queue.js';
import {type CallerUsage} from '../../../core/fairness/caller-usage.js';
import {LogLimiter} from '../../../core/limits/log-limiter.js';
import {QueueReports} from './queue-reports.js';
import {type ReportPart} from './report-part.js';
import {ShareReports} from './share-reports.js';

/** Collaborators and settings of the sharing. */
export type FleetSharingOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Slots up to which the targets of a pool are scheduled by work, 0 for none. */
	readonly workAwareSlots: number;
	/** True if these pools are admitted by the queue of all hosts instead of that of each host. */
	readonly admitsByFleetQueue: boolean;
};

/** A dispatcher whose queue is reported. */
type ReportedDispatcher = {readonly queueReport: () => QueueReport};

/** Time between log lines about outdated data. */
const logIntervalMilliseconds = 60_000;
/** Time for which the queues of this host are kept for further reports. */
const ownLifetimeMilliseconds = 50;

/** What the dispatchers of a host know of those of the other hosts: the work of the customers, and the queues. */
export class FleetSharing {
	/** Queues of the other hosts. */
	readonly queue: FleetQueue;
	/** The subjects of the reports. */
	readonly parts: readonly ReportPart[];
	private readonly shares: ShareReports;
	private readonly dispatchers: ReportedDispatcher[] = [];
	private readonly log: LogLimiter;
	private workAwarePools: ReadonlySet<PoolName> = new Set();
	private hasCustomers = false;
	private own: QueueReport = {waiting: [], dispatched: new Map(), hosts: 1};
	private ownReadAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: FleetSharingOptions) {
		const {clock} = options;
		this.queue = new FleetQueue({clock});
		this.shares = new ShareReports({clock});
		this.log = new LogLimiter({
			clock,
			intervalMilliseconds: logIntervalMilliseconds,
			maximumLines: 1,
		});
		this.parts = [
			this.shares,
			new QueueReports({
				queue: this.queue,
				isActive: () => this.isActive,
				own: () => this.report(),
			}),
		];
	}

	/** Applies the document that says whose requests share the targets of which pools. */
	applyDocument({customers, pools}: ForwardingDocument): void {
		// A host of an older build leaves the customers out.
		this.hasCustomers =
			customers === undefined ? this.hasCustomers : customers.length > 0;
		this.workAwarePools = new Set(
			pools
				.filter(
					({engine}) =>
						engine?.slots !== undefined &&
						engine.slots <= this.options.workAwareSlots,
				)
				.map(({name}) => name),
		);
	}

	/** Work of the customers in a pool on all hosts. */
	usage(pool: PoolName): CallerUsage {
		return this.shares.usage(pool);
	}

	/** True when requests for a pool are admitted by the queue of all hosts. */
	admitsByQueue(pool: PoolName): boolean {
		return this.options.admitsByFleetQueue && this.workAwarePools.has(pool);
	}

	/** Adds the queue of a dispatcher to the reports. */
	add(dispatcher: ReportedDispatcher): void {
		this.dispatchers.push(dispatcher);
	}

	/** True when a decision depends on the queues of others. */
	private get isActive(): boolean {
		return (
			this.hasCustomers ||
			(this.options.admitsByFleetQueue && this.workAwarePools.size > 0)
		);
	}

	/** The queues of this host. A host that answers many reports reads them once for several. */
	private report(): QueueReport {
		const now = this.options.clock.monotonic();
		if (now - this.ownReadAt < ownLifetimeMilliseconds) {
			return this.own;
		}

		this.logOutdated();
		this.ownReadAt = now;
		const reports = this.dispatchers.map((each) => each.queueReport());
		const dispatched = new Map<LevelKey, number>();
		for (const report of reports) {
			for (const [key, milliseconds] of report.dispatched) {
				dispatched.set(key, (dispatched.get(key) ?? 0) + milliseconds);
			}
		}

		this.own = {
			waiting: reports.flatMap(({waiting}) => waiting),
			dispatched,
			hosts: 1,
		};
		return this.own;
	}

	private logOutdated(): void {
		const {ageMilliseconds, isCurrent} = this.queue;
		if (isCurrent || !Number.isFinite(ageMilliseconds)) {
			return;
		}

		const omittedLines = this.log.admit('age');
		if (omittedLines !== undefined) {
			this.options.events.record(forwardingEvents.fleetQueueOutdated, {
				ageMilliseconds: Math.round(ageMilliseconds),
				omittedLines,
			});
		}
	}
}
