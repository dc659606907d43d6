import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {type EnginePool} from '../../src/contracts/forwarding-document.js';
import {
	type AdapterId,
	type FailureDomain,
	type FencingToken,
	type HostId,
	type ModelId,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {type ListedTarget} from '../../src/contracts/listed-target.js';
import {
	TargetOrderPort,
	NoResponseError,
	type OrderOutcome,
	type TargetOrder,
	type TargetOrderState,
} from '../../src/contracts/target-orders.js';
import {
	adapterKey,
	type AdapterReference,
} from '../../src/core/placement/adapter-slot-policy.js';
import {
	PoolPlacement,
	type PoolDemand,
} from '../../src/services/forwarding/owner/pool-placement.js';
import {TargetOrderTask} from '../../src/services/forwarding/targets/target-order-task.js';
import {type RegisteredTarget} from '../../src/services/forwarding/targets/target-registry.js';

const poolName = 'pool' as PoolName;
const stepMilliseconds = 20;
const placementIntervalMilliseconds = 100;
/** Time for which a refused request counts as demand. */
const refusedDemandMilliseconds = 1500;
/** Time in which the targets list themselves one after the other. */
const listingMilliseconds = 1500;
const loadMilliseconds = 1200;
const cachedLoadMilliseconds = 400;
const unloadMilliseconds = 200;

/** A model or an adapter of a model, as requests name it. */
export type RequestedArtifact = {
	readonly model: ModelId;
	readonly adapter?: AdapterId | undefined;
};

/** Requests for one model or adapter at a constant interval. */
export type RequestPattern = RequestedArtifact & {
	readonly intervalMilliseconds: number;
	/** Time for which a target runs one of the requests. */
	readonly runMilliseconds: number;
	/** Time for which a caller waits for the start. */
	readonly patienceMilliseconds: number;
	readonly fromMilliseconds?: number;
	readonly untilMilliseconds?: number;
};

type OpenRequest = RequestPattern & {
	readonly arrivedAt: number;
	target: StandInTarget | undefined;
	endsAt: number;
};

/** What became of the requests for one model or adapter. */
export type ServedCounts = {
	requests: number;
	served: number;
	/** Arrival of the first request since the last one that was served. */
	waitingSince: number | undefined;
	longestWaitMilliseconds: number;
};

/** Returns the key under which requests are counted. */
export function artifactName({model, adapter}: RequestedArtifact): string {
	return adapter === undefined ? model : adapterKey({model, adapter});
}

type ModelOrder = {
	readonly action: 'load' | 'unload';
	readonly model: ModelId;
	/** Undefined while an unload waits for the requests that run. */
	endsAt: number | undefined;
};

/** An engine that carries out one model order at a time and must not be ordered to hold more than fits. */
class StandInTarget {
	readonly resident = new Map<ModelId, Set<AdapterId>>();
	readonly cached = new Set<ModelId>();
	/** The same models, as the target lists them. */
	readonly cachedModels: ModelId[] = [];
	readonly running = new Set<OpenRequest>();
	/** Adapters whose unload was ordered while requests used them. */
	readonly unloadedInUse: AdapterReference[] = [];
	/** Models that were unloaded, in order. */
	readonly unloaded: ModelId[] = [];
	sequence = 0;
	isUnresponsive = false;
	/** Number of next orders that do not arrive. */
	lostOrders = 0;
	private order: ModelOrder | undefined;
	/** Adapters that are unloaded once the requests that use them have ended. */
	private unloadingAdapters: AdapterReference[] = [];

	constructor(
		readonly id: TargetId,
		private readonly engine: EnginePool,
		private readonly clock: ManualClock,
	) {}

	addCached(model: ModelId): void {
		if (!this.cached.has(model)) {
			this.cached.add(model);
			this.cachedModels.push(model);
		}
	}

	get state(): TargetOrderState {
		return {
			incarnation: `${this.id}-1` as TargetIncarnation,
			models: [...this.resident].map(([model, adapters]) => ({
				model,
				adapters: [...adapters],
			})),
			orderSequence: this.sequence,
			isBusy: this.order !== undefined,
			loadingAdapters: [],
		};
	}

	apply({action, model, adapter, expectedSequence}: TargetOrder): OrderOutcome {
		if (this.order !== undefined || expectedSequence !== this.sequence) {
			return 'conflict';
		}

		if (adapter !== undefined) {
			return this.applyAdapterOrder(action, model, adapter);
		}

		if (this.resident.has(model) === (action === 'load')) {
			return 'already-done';
		}

		this.sequence++;
		const isCached = this.cached.has(model);
		this.order = {
			action,
			model,
			endsAt:
				action === 'unload'
					? undefined
					: this.clock.monotonic() +
						(isCached ? cachedLoadMilliseconds : loadMilliseconds),
		};
		this.checkMemory();
		return 'accepted';
	}

	advance(): void {
		const now = this.clock.monotonic();
		this.unloadingAdapters = this.unloadingAdapters.filter(
			({model, adapter}) => {
				const isUsed = this.usesAdapter(model, adapter);
				if (!isUsed) {
					this.resident.get(model)?.delete(adapter);
				}

				return isUsed;
			},
		);
		const {order} = this;
		if (!order) {
			return;
		}

		if (order.endsAt === undefined) {
			const isUsed = [...this.running].some(({model}) => model === order.model);
			order.endsAt = isUsed ? undefined : now + unloadMilliseconds;
			return;
		}

		if (now < order.endsAt) {
			return;
		}

		this.order = undefined;
		if (order.action === 'load') {
			this.resident.set(order.model, new Set());
			this.addCached(order.model);
		} else {
			this.resident.delete(order.model);
			this.unloaded.push(order.model);
		}
	}

	private usesAdapter(model: ModelId, adapter: AdapterId): boolean {
		return [...this.running].some(
			(request) => request.model === model && request.adapter === adapter,
		);
	}

	private applyAdapterOrder(
		action: 'load' | 'unload',
		model: ModelId,
		adapter: AdapterId,
	): OrderOutcome {
		const adapters = this.resident.get(model);
		if (!adapters) {
			return 'invalid';
		}

		if (action === 'unload') {
			this.sequence++;
			if (this.usesAdapter(model, adapter)) {
				this.unloadingAdapters.push({model, adapter});
				this.unloadedInUse.push({model, adapter});
				return 'accepted';
			}

			adapters.delete(adapter);
			return 'already-done';
		}

		adapters.add(adapter);
		this.sequence++;
		const count = [...this.resident.values()].reduce(
			(sum, each) => sum + each.size,
			0,
		);
		assert.ok(
			count <= this.engine.adapterSlots,
			`${this.id} was ordered to hold ${count} adapters`,
		);
		return 'accepted';
	}

	private checkMemory(): void {
		const models = new Set(this.resident.keys());
		if (this.order?.action === 'load') {
			models.add(this.order.model);
		}

		let bytes = 0;
		for (const {id, bytes: size} of this.engine.models) {
			bytes += models.has(id) ? size : 0;
		}

		assert.ok(
			bytes <= this.engine.memoryBytes,
			`${this.id} was ordered to hold ${models.size} models`,
		);
	}
}

/** Delivers orders at once, except to targets that do not respond. */
class StandInOrderPort extends TargetOrderPort {
	constructor(private readonly targets: ReadonlyMap<TargetId, StandInTarget>) {
		super();
	}

	sendOrder(
		{id}: ListedTarget,
		order: TargetOrder,
	): ResultAsync<OrderOutcome, NoResponseError> {
		const target = this.targets.get(id)!;
		if (target.isUnresponsive) {
			return neverAnswered();
		}

		if (target.lostOrders > 0) {
			target.lostOrders--;
			return errAsync(new NoResponseError('the order is lost'));
		}

		return okAsync(target.apply(order));
	}

	fetchState({
		id,
	}: ListedTarget): ResultAsync<TargetOrderState, NoResponseError> {
		const target = this.targets.get(id)!;
		return target.isUnresponsive ? neverAnswered() : okAsync(target.state);
	}
}

function neverAnswered<T>(): ResultAsync<T, NoResponseError> {
	return new ResultAsync(Promise.race([]));
}

/** Options of a {@link PlacedFleet}. */
export type PlacedFleetOptions = {
	readonly engine: EnginePool;
	/** Models that each target holds at the beginning. */
	readonly resident: ReadonlyArray<readonly ModelId[]>;
	/** Requests that a target runs at once. No limit if absent. */
	readonly slots?: number;
	/** Pools with at most this many slots are scheduled by work. */
	readonly workAwareSlots?: number;
};

/**
 * A pool whose placement runs in virtual time: targets that carry out orders, requests that wait for a model or adapter,
 * and the placement of the owner. Requests never lack a slot, so only placement keeps them waiting.
 */
export class PlacedFleet {
	readonly clock = new ManualClock(1_000_000);
	readonly counts = new Map<string, ServedCounts>();
	readonly targets = new Map<TargetId, StandInTarget>();
	/** False while no host may send orders. */
	hasOwner = true;
	private readonly tasks: TargetOrderTask[];
	private placement: PoolPlacement;
	private readonly open = new Set<OpenRequest>();
	private readonly refusedAt = new Map<ModelId, number[]>();
	private readonly lastRequestAt = new Map<ModelId, number>();
	private firstRequestAt: number | undefined;
	private placedAt = Number.NEGATIVE_INFINITY;
	private readonly startedAt = this.clock.monotonic();

	constructor(private readonly options: PlacedFleetOptions) {
		const {clock} = this;
		const {engine, resident} = options;
		for (const [index, models] of resident.entries()) {
			const id = `t${index}` as TargetId;
			const target = new StandInTarget(id, engine, clock);
			for (const model of models) {
				target.resident.set(model, new Set());
				target.addCached(model);
			}

			this.targets.set(id, target);
		}

		const port = new StandInOrderPort(this.targets);
		this.tasks = [...this.targets.values()].map(
			(target, index) =>
				new TargetOrderTask({
					target: registeredTarget(target, index, options.slots),
					host: 'h' as HostId,
					port,
					clock,
					events: new NullEventLogger(),
					token: () => 1 as FencingToken,
					onSuperseded() {
						assert.fail('there is one owner only');
					},
					onChanged: () => undefined,
					retirementMilliseconds: () => 120,
					requestsPerSecond: () => undefined,
					isHeldBack: () => false,
					onOrderSent: () => undefined,
				}),
		);
		this.placement = this.createPlacement();
	}

	/** Replaces the placement by that of a new owner, which knows nothing of the old one. */
	changeOwner(): void {
		this.placement = this.createPlacement();
	}

	/** Runs the fleet for a time with the given requests. */
	async run(
		durationMilliseconds: number,
		patterns: readonly RequestPattern[] = [],
	): Promise<void> {
		const start = this.clock.monotonic();
		const due = patterns.map(
			({fromMilliseconds, intervalMilliseconds}, index) =>
				start +
				(fromMilliseconds ?? 0) +
				(intervalMilliseconds * index) / patterns.length,
		);
		while (this.clock.monotonic() < start + durationMilliseconds) {
			this.clock.advance(stepMilliseconds);
			const now = this.clock.monotonic();
			for (const [index, pattern] of patterns.entries()) {
				while (
					due[index]! <= now &&
					now - start < (pattern.untilMilliseconds ?? Infinity)
				) {
					due[index]! += pattern.intervalMilliseconds;
					this.accept(pattern);
				}
			}

			for (const target of this.targets.values()) {
				target.advance();
			}

			this.advanceRequests();
			if (
				this.hasOwner &&
				now - this.placedAt >= placementIntervalMilliseconds
			) {
				this.placedAt = now;
				for (const task of this.tasks) {
					task.refresh();
				}

				// Lets the reads of the states end.
				await setImmediate();
				this.placement.step(this.demand());
				await setImmediate();
			}
		}
	}

	/** Names that were requested and never served, and those whose longest wait exceeds a bound. */
	servedLate(boundMilliseconds: number): string[] {
		const now = this.clock.monotonic();
		return [...this.counts]
			.filter(
				([, {waitingSince, longestWaitMilliseconds}]) =>
					Math.max(
						longestWaitMilliseconds,
						waitingSince === undefined ? 0 : now - waitingSince,
					) > boundMilliseconds,
			)
			.map(
				([name, {requests, served, longestWaitMilliseconds}]) =>
					`${name}: ${served} of ${requests} served, longest wait ${longestWaitMilliseconds} ms`,
			);
	}

	/** Ids of the targets, in the order of the options. */
	get targetIds(): TargetId[] {
		return [...this.targets.keys()];
	}

	/** Share of the requests that were served. */
	get servedShare(): number {
		let requests = 0;
		let served = 0;
		for (const each of this.counts.values()) {
			requests += each.requests;
			served += each.served;
		}

		return served / requests;
	}

	private createPlacement(): PoolPlacement {
		return new PoolPlacement(this.options.engine, {
			pool: poolName,
			clock: this.clock,
			events: new NullEventLogger(),
			workAwareSlots: this.options.workAwareSlots,
			tasks: () => this.tasks,
			sinceLastNewTarget: () =>
				this.clock.monotonic() - this.startedAt - listingMilliseconds,
		});
	}

	private accept(pattern: RequestPattern): void {
		const now = this.clock.monotonic();
		this.firstRequestAt ??= now;
		this.lastRequestAt.set(pattern.model, now);
		this.open.add({...pattern, arrivedAt: now, target: undefined, endsAt: 0});
		const counts = this.countsOf(pattern);
		counts.requests++;
		counts.waitingSince ??= now;
	}

	private advanceRequests(): void {
		const now = this.clock.monotonic();
		for (const request of this.open) {
			if (request.target) {
				if (now >= request.endsAt) {
					request.target.running.delete(request);
					this.open.delete(request);
				}

				continue;
			}

			const target = this.targetFor(request);
			if (target) {
				request.target = target;
				request.endsAt = now + request.runMilliseconds;
				target.running.add(request);
				this.recordServed(request);
			} else if (now - request.arrivedAt >= request.patienceMilliseconds) {
				this.open.delete(request);
				this.recordRefusal(request.model);
			}
		}
	}

	private targetFor({model, adapter}: RequestedArtifact) {
		const offering = this.tasks
			.filter(({hasCurrentState}) => hasCurrentState)
			.filter((task) =>
				task
					.content()
					.models.some(
						(each) =>
							each.model === model &&
							!each.isRetiring &&
							(adapter === undefined || each.adapters.includes(adapter)),
					),
			)
			.map(({id}) => this.targets.get(id)!)
			.filter(
				(target) =>
					target.running.size < (this.options.slots ?? Infinity) &&
					target.resident.get(model) !== undefined &&
					(adapter === undefined || target.resident.get(model)!.has(adapter)),
			);
		offering.sort((left, right) => left.running.size - right.running.size);
		return offering[0];
	}

	private recordServed(request: OpenRequest): void {
		const counts = this.countsOf(request);
		counts.served++;
		if (counts.waitingSince !== undefined) {
			counts.longestWaitMilliseconds = Math.max(
				counts.longestWaitMilliseconds,
				this.clock.monotonic() - counts.waitingSince,
			);
			counts.waitingSince = undefined;
		}
	}

	private recordRefusal(model: ModelId): void {
		const times = this.refusedAt.get(model) ?? [];
		times.push(this.clock.monotonic());
		this.refusedAt.set(model, times);
	}

	private countsOf(artifact: RequestedArtifact): ServedCounts {
		const name = artifactName(artifact);
		const counts = this.counts.get(name) ?? {
			requests: 0,
			served: 0,
			waitingSince: undefined,
			longestWaitMilliseconds: 0,
		};
		this.counts.set(name, counts);
		return counts;
	}

	private demand(): PoolDemand {
		const now = this.clock.monotonic();
		const models = new Map<ModelId, number>();
		const adapters = new Map<string, number>();
		const waiting = new Map<
			string,
			{model: ModelId; adapter: AdapterId; count: number}
		>();
		for (const [model, times] of this.refusedAt) {
			const recent = times.filter(
				(time) => time > now - refusedDemandMilliseconds,
			);
			this.refusedAt.set(model, recent);
			if (recent.length > 0) {
				models.set(model, recent.length);
			}
		}

		for (const request of this.open) {
			const {model, adapter} = request;
			models.set(model, (models.get(model) ?? 0) + 1);
			if (adapter === undefined) {
				continue;
			}

			const key = adapterKey({model, adapter});
			adapters.set(key, (adapters.get(key) ?? 0) + 1);
			if (!request.target) {
				const entry = waiting.get(key) ?? {model, adapter, count: 0};
				entry.count++;
				waiting.set(key, entry);
			}
		}

		return {
			models,
			idleMilliseconds: new Map(
				[...this.lastRequestAt].map(([model, at]) => [
					model,
					models.has(model) ? 0 : now - at,
				]),
			),
			observedMilliseconds:
				this.firstRequestAt === undefined ? 0 : now - this.firstRequestAt,
			adapters,
			awaitedAdapters: [...waiting.values()]
				.sort((left, right) => right.count - left.count)
				.map(({model, adapter}) => ({
					model,
					adapter,
					softwareVersion: undefined,
				})),
		};
	}
}

function registeredTarget(
	target: StandInTarget,
	index: number,
	slots: number | undefined,
): RegisteredTarget {
	return {
		listed: {
			id: target.id,
			pool: poolName,
			address: '127.0.0.1:1',
			failureDomain: `d${index % 3}` as FailureDomain,
			slots: slots ?? 64,
			isLeaving: false,
			residency: target.state,
			localWeights: {
				inMemory: [],
				onDisk: slots === undefined ? [] : target.cachedModels,
			},
		},
		listedAt: 0,
		content: new Map(),
		isContentFromOwner: false,
		unreachableUntil: 0,
		emptyUntil: 0,
		missingUntil: new Map(),
		connections: undefined,
	};
}

/** Returns an engine pool with models of one size, of which each target holds three. */
export function engineOfModels(
	models: ReadonlyArray<{readonly id: string; readonly adapterCount?: number}>,
): EnginePool {
	return {
		memoryBytes: 220_000,
		adapterSlots: 5,
		loadsPerSecond: 2,
		models: models.map(({id, adapterCount}) => ({
			id: id as ModelId,
			bytes: 72_700,
			loadMilliseconds,
			adapterCount: adapterCount ?? 0,
			adapterBytes: 66,
		})),
	};
}
