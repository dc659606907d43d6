import {create} from '@bufbuild/protobuf';
import {
	SeededRandomSource,
	type RandomSource,
} from '../base/common/random-source.js';
import {
	type CallerId,
	type CustomerName,
	type HostId,
	type OfferingName,
	type PoolName,
} from '../contracts/ids.js';
import {type Clock} from '../base/common/clock.js';
import {AdmissionPolicy} from '../core/admission/admission-policy.js';
import {CallerLimiter} from '../core/admission/caller-limiter.js';
import {FleetQueue} from '../core/admission/fleet-queue.js';
import {StartLimiter} from '../core/admission/start-limiter.js';
import {callerOf} from '../core/fairness/customer-callers.js';
import {SlotPolicy} from '../core/routing/slot-policy.js';
import {LengthEstimator} from '../core/work/length-estimator.js';
import {
	ReportRequestSchema,
	ReportResponseSchema,
} from '../generated/daisylever/owner/v1/owner_pb.js';
import {type Dispatcher} from '../services/dispatch/dispatcher.js';
import {QueueReports} from '../services/forwarding/reports/queue-reports.js';
import {
	type ReportFields,
	type ReportPart,
	type ReportResponseFields,
} from '../services/forwarding/reports/report-part.js';
import {ShareReports} from '../services/forwarding/reports/share-reports.js';
import {arrivals, logNormal, type WorkloadRequest} from './workload.js';
import {type VirtualTimeline} from './virtual-timeline.js';
import {
	capacity,
	runFleet,
	type DispatcherChoice,
	type Outcome,
} from './serving-model.js';

const pool = 'p' as PoolName;
const slots = 24;
const customerCount = 16;

/** What happens to the reports and how a simulated fleet is loaded. */
export type SharedFleetOptions = {
	readonly hosts: number;
	readonly seed: number;
	/** Customers, by number, at six times their usual rate in the middle of the run. */
	readonly bursting: readonly number[];
	/** Share of the reports that are lost. */
	readonly lostReports?: number;
	/** Longest extra delay of a report or response, which changes their order. */
	readonly reportDelay?: number;
	/** Time in which the owner answers nothing. */
	readonly ownerStall?: readonly [number, number];
	/** Time in which a half of the hosts reports nothing, as if they had left and come back. */
	readonly silentHosts?: readonly [number, number];
	/** False to let each host share by its own work only. */
	readonly isReporting?: boolean;
	/** True to refuse by the queue of the fleet. */
	readonly admitsByFleetQueue?: boolean;
	/** Factor of the rate of the bursting customers. */
	readonly factor?: number;
	/** Targets, if not in the proportion of deployment B to the hosts. */
	readonly targets?: number;
	/** True for requests of three urgencies without customers, of which the first third of the hosts gets three times as many. */
	readonly isMixed?: boolean;
	/** Usual load as a share of the capacity. */
	readonly load?: number;
};

export const burst: readonly [number, number] = [3000, 8000];
const until = 9000;
const hostsOfRelay = 23;

class ReportingHost {
	readonly queue: FleetQueue;
	readonly shares: ShareReports;
	readonly parts: readonly ReportPart[];
	dispatcher: Dispatcher | undefined;

	constructor(clock: Clock) {
		this.queue = new FleetQueue({clock});
		this.shares = new ShareReports({clock});
		this.parts = [
			this.shares,
			new QueueReports({
				queue: this.queue,
				isActive: () => true,
				own: () => this.dispatcher!.queueReport(),
			}),
		];
	}
}

/** Hosts that exchange their shares as reports to the owner, through relays in a larger fleet. */
class Exchange {
	readonly hosts = new Map<HostId, ReportingHost>();

	constructor(
		private readonly timeline: VirtualTimeline,
		private readonly random: RandomSource,
		private readonly options: SharedFleetOptions,
	) {}

	add(host: HostId): ReportingHost {
		const part = new ReportingHost(this.timeline);
		const index = this.hosts.size;
		this.hosts.set(host, part);
		if (this.options.isReporting === false) {
			return part;
		}

		if (index === 0) {
			this.timeline.every(100, until + 3000, () => {
				for (const each of part.parts) {
					each.reportLocally();
				}
			});
		} else {
			const interval = this.options.hosts > 12 ? 500 : 250;
			this.timeline.at(this.random.next() * interval, () => {
				this.timeline.every(interval, until + 5000, () => {
					if (index % 2 === 0 || !this.isWithin(this.options.silentHosts)) {
						this.report(host, part, this.receiverOf(index));
					}
				});
			});
		}

		return part;
	}

	/** The owner is the first host; the first ones after it relay for the others in a larger fleet. */
	private receiverOf(index: number): number {
		const relays =
			this.options.hosts > hostsOfRelay + 1
				? Math.ceil(this.options.hosts / hostsOfRelay)
				: 0;
		return index <= relays || relays === 0 ? 0 : 1 + (index % relays);
	}

	private report(host: HostId, sender: ReportingHost, receiver: number): void {
		const request = create(
			ReportRequestSchema,
			Object.assign(
				{host},
				...sender.parts.map((part) => part.requestFields()),
			) as ReportFields,
		);
		const sentAt = this.timeline.monotonic();
		this.deliver(() => {
			const answering = [...this.hosts.values()][receiver]!;
			if (receiver === 0 && this.isWithin(this.options.ownerStall)) {
				return;
			}

			for (const part of answering.parts) {
				part.handleRequest(request);
			}

			const response = create(
				ReportResponseSchema,
				Object.assign(
					{},
					...answering.parts.map((part) => part.responseFields(request)),
				) as ReportResponseFields,
			);
			this.deliver(() => {
				for (const part of sender.parts) {
					part.handleResponse(response, {
						address: '',
						ageMilliseconds: this.timeline.monotonic() - sentAt,
					});
				}
			});
		});
	}

	private isWithin([from, to]: readonly [number, number] = [0, 0]): boolean {
		const now = this.timeline.monotonic();
		return now >= from && now < to;
	}

	private deliver(action: () => void): void {
		if (this.random.next() < (this.options.lostReports ?? 0)) {
			return;
		}

		const delay = 2 + this.random.next() * (this.options.reportDelay ?? 10);
		this.timeline.at(this.timeline.monotonic() + delay, action);
	}
}

export function customer(index: number): CallerId {
	return callerOf(`customer-${index}` as CustomerName);
}

/** A short live stream as in deployment B. Each fourth customer reaches one host only, the others all hosts. */
function request(
	random: RandomSource,
	arrival: number,
	index: number,
	hosts: number,
): WorkloadRequest {
	return {
		arrival,
		caller: customer(index),
		offering: 'draft' as OfferingName,
		urgency: 'standard',
		promptCharacters: 700,
		tokens: Math.round(Math.min(106, Math.max(1, logNormal(random, 20, 0.9)))),
		firstTokenMilliseconds: 20,
		betweenTokensMilliseconds: 5,
		deadlineMilliseconds: 10_000,
		startObjectiveMilliseconds: 400,
		startTimeoutMilliseconds: 2000,
		label: 'draft',
		host: index % 4 === 3 ? index % hosts : random.integer(hosts),
	};
}

/** A request without a customer, on a host that it reaches more or less often. */
function mixedRequest(
	random: RandomSource,
	arrival: number,
	hosts: number,
): WorkloadRequest {
	const kind = random.next();
	const isBusyHost = random.next() < 0.6;
	return {
		...request(random, arrival, 0, hosts),
		caller: callerOf(undefined),
		urgency: kind < 0.45 ? 'urgent' : kind < 0.8 ? 'standard' : 'deferred',
		startObjectiveMilliseconds: kind < 0.8 ? 400 : 3000,
		startTimeoutMilliseconds: kind < 0.8 ? 2000 : 4000,
		host: isBusyHost
			? random.integer(Math.ceil(hosts / 3))
			: random.integer(hosts),
	};
}

/** Requests of each customer that arrived in the burst. */
export type SharedFleetResult = {
	readonly served: readonly number[];
	readonly arrived: readonly number[];
	/** Share of the slot time of the targets that was used in the run. */
	readonly utilization: number;
	/** Outcomes of the requests that arrived in the burst. */
	readonly outcomes: readonly Outcome[];
};

/** Runs the dispatchers of the program with 16 customers, of which the first three are four times as large as the rest. */
export function runSharedFleet(options: SharedFleetOptions): SharedFleetResult {
	const {hosts, seed, bursting, load = 0.7} = options;
	const shape = {
		hosts,
		targets: options.targets ?? Math.round(hosts * 0.63),
		slots,
		slowdowns: new Map(),
		until: until + 3000,
		seed,
		reportIntervalMilliseconds: 300,
		reportDelayMilliseconds: [20, 60] as [number, number],
	};
	const random = new SeededRandomSource(seed);
	const sample = Array.from({length: 5000}, () => request(random, 0, 0, hosts));
	const usual = load * capacity(shape, sample);
	const weights = Array.from({length: customerCount}, (_, index) =>
		index < 3 ? 4 : 1,
	);
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const workload = weights
		.flatMap((weight, index) => {
			const own = new SeededRandomSource(seed * 100 + index);
			const rate = (usual * weight) / total;
			const factor = bursting.includes(index) ? (options.factor ?? 6) : 1;
			return arrivals(
				own,
				until,
				(time) => (time >= burst[0] && time < burst[1] ? rate * factor : rate),
				rate * factor,
			).map((arrival) =>
				options.isMixed
					? mixedRequest(own, arrival, hosts)
					: request(own, arrival, index, hosts),
			);
		})
		.sort((left, right) => left.arrival - right.arrival);
	let exchange: Exchange | undefined;
	const dispatcher: DispatcherChoice = (timeline, source, host) => {
		exchange ??= new Exchange(timeline, source, options);
		const reporting = exchange.add(host);
		return {
			callerUsage: reporting.shares.usage(pool),
			fleetQueue: reporting.queue,
			admitsByFleetQueue: () => options.admitsByFleetQueue ?? false,
			admissionPolicy: new AdmissionPolicy({
				clock: timeline,
				limiter: new CallerLimiter({clock: timeline}),
				maximumWaitShare: 1,
			}),
			lengthEstimator: new LengthEstimator({
				longThresholdTokens: Number.MAX_SAFE_INTEGER,
			}),
			slotPolicy: new SlotPolicy({host, longShare: 1, overcommitShare: 0}),
			startLimiter: new StartLimiter({clock: timeline}),
			hedging: false,
		};
	};

	const {outcomes, used} = runFleet(shape, workload, {
		name: 'shares',
		dispatcher,
		created(host, created) {
			exchange!.hosts.get(host)!.dispatcher = created;
		},
	});
	const inBurst = outcomes.filter(
		(each) =>
			each.request.arrival >= burst[0] && each.request.arrival < burst[1],
	);
	const count = (isCounted: (outcome: Outcome) => boolean) =>
		weights.map(
			(_, index) =>
				inBurst.filter(
					(each) => each.request.caller === customer(index) && isCounted(each),
				).length,
		);
	return {
		served: count(({outcome}) => outcome === 'completed'),
		arrived: count(() => true),
		outcomes: inBurst,
		utilization:
			used.reduce((sum, each) => sum + each, 0) /
			(shape.targets * slots * until),
	};
}
