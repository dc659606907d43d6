import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type HostId,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {BrittleTargets} from '../../src/core/limits/brittle-targets.js';
import {RefusalLimits} from '../../src/core/limits/refusal-limits.js';
import {SlotPolicy} from '../../src/core/routing/slot-policy.js';
import {TargetLoadTracker} from '../../src/core/routing/target-load-tracker.js';

/** Sizes and times of a simulated fleet. */
export type RefusalFleetOptions = {
	readonly hosts: number;
	readonly targets: number;
	readonly slots: number;
	/** Requests that may wait at a target before it is brittle, and from some time after. */
	readonly queueRoom: number;
	readonly brittleQueueRoom: number;
	readonly refusalsPerSecond: number;
	readonly serviceMilliseconds: number;
	readonly isPolicyOn: boolean;
	readonly seed: number;
};

type SimulatedRequest = {
	readonly id: RequestId;
	readonly arrivedAt: number;
	attempts: number;
};

type SimulatedHost = {
	readonly load: TargetLoadTracker;
	readonly slots: SlotPolicy;
	readonly brittle: BrittleTargets;
	readonly limits: RefusalLimits;
	readonly unreachableUntil: Map<TargetId, number>;
	waiting: SimulatedRequest[];
};

type SimulatedTarget = {
	readonly id: TargetId;
	running: number;
	queue: Array<{host: SimulatedHost; request: SimulatedRequest}>;
	incarnation: number;
	downUntil: number;
	refusals: number[];
	/** Refusals within the second before each refusal, at most. */
	largestSecond: number;
	falls: number;
};

const delayMilliseconds = 1;
const patienceMilliseconds = 1000;
const restartMilliseconds = 3000;
const unreachableMilliseconds = 300;
const tickMilliseconds = 20;
const reportMilliseconds = 1500;
const maximumAttempts = 3;
/** Targets that a host compares for a request. */
const comparedTargets = 16;

/** Hosts that send requests to targets of few slots, which turn requests away for want of room and fall over while they are brittle. */
export class RefusalFleet {
	readonly clock = new ManualClock();
	readonly targets: SimulatedTarget[];
	answered = 0;
	private readonly hosts: SimulatedHost[];
	private readonly random: SeededRandomSource;
	private readonly events = new Map<number, Array<() => void>>();
	private isAnnounced = false;
	private isBrittle = false;
	private requestCount = 0;
	private reportSequence = 0;

	constructor(private readonly options: RefusalFleetOptions) {
		this.random = new SeededRandomSource(options.seed);
		this.targets = Array.from({length: options.targets}, (_, index) => ({
			id: `t${index}` as TargetId,
			running: 0,
			queue: [],
			incarnation: 0,
			downUntil: 0,
			refusals: [],
			largestSecond: 0,
			falls: 0,
		}));
		this.hosts = Array.from({length: options.hosts}, (_, index) =>
			this.createHost(index),
		);
	}

	/** Requests a second that all targets together can run. */
	get capacity(): number {
		const {targets, slots, serviceMilliseconds} = this.options;
		return (targets * slots * 1000) / serviceMilliseconds;
	}

	get falls(): number {
		return this.targets.reduce((sum, {falls}) => sum + falls, 0);
	}

	/** Targets that turned away more than the announced number within a second. */
	get largestSecond(): number {
		return Math.max(...this.targets.map((target) => target.largestSecond));
	}

	/** Lets the targets say that they are brittle, or no more. */
	announce(isAnnounced: boolean): void {
		this.isAnnounced = isAnnounced;
	}

	/** From now on targets have less room and fall over. */
	becomeBrittle(): void {
		this.isBrittle = true;
	}

	/** Runs with a number of requests a second, which come through all hosts alike. */
	run(milliseconds: number, requestsPerSecond: number): void {
		const perStep = requestsPerSecond / 1000;
		for (let step = 0; step < milliseconds; step++) {
			this.clock.advance(1);
			const now = this.clock.monotonic();
			for (const event of this.events.get(now) ?? []) {
				event();
			}

			this.events.delete(now);
			let arrivals =
				Math.floor(perStep) +
				(this.random.next() < perStep - Math.floor(perStep) ? 1 : 0);
			while (arrivals-- > 0) {
				const host = this.hosts[this.random.integer(this.hosts.length)]!;
				host.waiting.push({
					id: `r${this.requestCount++}` as RequestId,
					arrivedAt: now,
					attempts: 0,
				});
				this.dispatch(host);
			}

			for (const [index, host] of this.hosts.entries()) {
				if ((now + index) % tickMilliseconds === 0) {
					this.dispatch(host);
				}

				if ((now + index * 37) % reportMilliseconds === 0) {
					this.report(host);
				}
			}
		}
	}

	private createHost(index: number): SimulatedHost {
		const {options, clock} = this;
		const load = new TargetLoadTracker({clock});
		const slots = new SlotPolicy({
			host: `h${index}` as HostId,
			longShare: 1,
			overcommitShare: 0,
		});
		slots.setHostCount(options.hosts);
		for (const {id} of this.targets) {
			load.setTarget(id, options.slots);
			slots.setTarget(id, options.slots);
		}

		const brittle = new BrittleTargets({clock});
		return {
			load,
			slots,
			brittle,
			limits: new RefusalLimits({
				clock,
				// The first numbers of sources with neighbouring seeds are alike.
				random: this.random,
				brittle,
				hostCount: () => options.hosts,
			}),
			unreachableUntil: new Map(),
			waiting: [],
		};
	}

	/** Exchanges what host and the first host know, as the reports do. */
	private report(host: SimulatedHost): void {
		const first = this.hosts[0]!;
		for (const [from, to] of [
			[host, first],
			[first, host],
		] as const) {
			for (const news of from.brittle.changesSince(0).news) {
				to.brittle.merge(news);
			}
		}
	}

	private dispatch(host: SimulatedHost): void {
		const now = this.clock.monotonic();
		host.waiting = host.waiting.filter(
			({arrivedAt}) => now - arrivedAt < patienceMilliseconds,
		);
		while (host.waiting.length > 0) {
			const target = this.choose(host);
			if (!target) {
				return;
			}

			this.send(host, target, host.waiting.shift()!);
		}
	}

	private choose(host: SimulatedHost): SimulatedTarget | undefined {
		const now = this.clock.monotonic();
		const start = this.random.integer(this.targets.length);
		const compared = Array.from(
			{length: Math.min(comparedTargets, this.targets.length)},
			(_, index) => this.targets[(start + index) % this.targets.length]!,
		).filter(({id}) => (host.unreachableUntil.get(id) ?? 0) <= now);
		const usable = host.load
			.loads(compared.map(({id}) => id))
			.filter(
				(load) =>
					host.slots.hasCapacity(load, false) &&
					(!this.options.isPolicyOn || host.limits.mayReceive(load)),
			)
			.sort(
				(left, right) =>
					left.localOutstanding +
					left.remoteOutstanding -
					right.localOutstanding -
					right.remoteOutstanding,
			);
		return usable[0] && this.targets[Number(usable[0].target.slice(1))];
	}

	private send(
		host: SimulatedHost,
		target: SimulatedTarget,
		request: SimulatedRequest,
	): void {
		request.attempts++;
		host.load.startRequest(target.id, request.id, false);
		host.limits.recordSent(target.id);
		this.after(delayMilliseconds, () => {
			this.receive(host, target, request);
		});
	}

	private receive(
		host: SimulatedHost,
		target: SimulatedTarget,
		request: SimulatedRequest,
	): void {
		const now = this.clock.monotonic();
		if (now < target.downUntil) {
			this.lose(host, target, request);
			return;
		}

		if (target.running < this.options.slots) {
			this.start(host, target, request);
			return;
		}

		const room = this.isBrittle
			? this.options.brittleQueueRoom
			: this.options.queueRoom;
		if (target.queue.length < room) {
			target.queue.push({host, request});
			return;
		}

		this.answer(host, target, request, false);
		target.refusals = [...target.refusals.filter((at) => now - at < 1000), now];
		if (this.isBrittle) {
			target.largestSecond = Math.max(
				target.largestSecond,
				target.refusals.length,
			);
			if (target.refusals.length > this.options.refusalsPerSecond) {
				this.fall(target);
			}
		}
	}

	private start(
		host: SimulatedHost,
		target: SimulatedTarget,
		request: SimulatedRequest,
	): void {
		const {incarnation} = target;
		const mean = this.options.serviceMilliseconds;
		target.running++;
		this.after(
			Math.max(1, Math.round(-Math.log(1 - this.random.next()) * mean)),
			() => {
				if (target.incarnation !== incarnation) {
					this.lose(host, target, request);
					return;
				}

				target.running--;
				this.answered++;
				this.answer(host, target, request, true);
				const next = target.queue.shift();
				if (next) {
					this.start(next.host, target, next.request);
				}
			},
		);
	}

	private fall(target: SimulatedTarget): void {
		target.falls++;
		target.incarnation++;
		target.running = 0;
		target.refusals = [];
		target.downUntil = this.clock.monotonic() + restartMilliseconds;
		for (const {host, request} of target.queue) {
			this.lose(host, target, request);
		}

		target.queue = [];
	}

	private answer(
		host: SimulatedHost,
		target: SimulatedTarget,
		request: SimulatedRequest,
		isAccepted: boolean,
	): void {
		const {slots, refusalsPerSecond} = this.options;
		const load = {running: target.running, queued: target.queue.length, slots};
		const announced = this.isAnnounced ? refusalsPerSecond : undefined;
		this.after(delayMilliseconds, () => {
			this.reportSequence++;
			host.load.applyReport(
				{
					target: target.id,
					incarnation: '1' as TargetIncarnation,
					sequence: this.reportSequence,
					leaving: false,
					...load,
				},
				0,
			);
			host.brittle.apply(target.id, announced);
			host.limits.recordReport(target.id, load);
			if (isAccepted) {
				host.limits.recordAccepted(target.id);
			} else {
				host.limits.recordRefused(target.id);
				if (request.attempts < maximumAttempts) {
					host.waiting.unshift(request);
				}
			}

			this.end(host, target, request);

			this.dispatch(host);
		});
	}

	private lose(
		host: SimulatedHost,
		target: SimulatedTarget,
		request: SimulatedRequest,
	): void {
		this.after(delayMilliseconds, () => {
			this.end(host, target, request);
			host.unreachableUntil.set(
				target.id,
				this.clock.monotonic() + unreachableMilliseconds,
			);
			host.limits.recordRestart(target.id);
		});
	}

	private end(
		host: SimulatedHost,
		target: SimulatedTarget,
		request: SimulatedRequest,
	): void {
		host.load.endRequest(target.id, request.id);
		host.limits.recordEnded(target.id);
	}

	private after(milliseconds: number, event: () => void): void {
		const at = this.clock.monotonic() + milliseconds;
		const events = this.events.get(at) ?? [];
		events.push(event);
		this.events.set(at, events);
	}
}
