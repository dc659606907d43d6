import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {type ForwardingDocument} from '../../contracts/forwarding-document.js';
import {
	type AdapterId,
	type ModelId,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {
	type ListedTarget,
	type TargetListChange,
} from '../../contracts/listed-target.js';
import {TargetConnections} from './target-connections.js';

/** What the owner of placement says that a target holds. */
export type PlacedContent = {
	readonly target: TargetId;
	readonly incarnation: TargetIncarnation;
	readonly models: ReadonlyArray<{
		readonly model: ModelId;
		readonly adapters: readonly AdapterId[];
		readonly isRetiring: boolean;
	}>;
};

/** A target with what this host knows of it and its connections. */
export type RegisteredTarget = {
	listed: ListedTarget;
	/** Monotonic time at which the entry was read. */
	listedAt: number;
	/** Adapters by model that get new work. */
	content: Map<ModelId, Set<AdapterId>>;
	/** True when the owner has told the content of this incarnation. */
	isContentFromOwner: boolean;
	/** No new work goes there before this monotonic time, because it could not be reached. */
	unreachableUntil: number;
	/** The process ended, so the target holds no model until it is listed anew or this monotonic time. */
	emptyUntil: number;
	/** Models and adapters for which the target refused work, with the monotonic time until which that counts. */
	missingUntil: Map<string, number>;
	connections: TargetConnections | undefined;
};

/** Options of the registry. */
export type TargetRegistryOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
};

/** Share of the connections that a target accepts that this system uses. The rest leaves room for hosts that start. */
const connectionShare = 0.7;
/** Time since the owner's last answer up to which it knows better than the list what targets hold. */
const ownerFreshMilliseconds = 2000;
/** Time without new work after a connection failed. A restarted target is back after seconds. */
const unreachableMilliseconds = 300;

/** Time for which a target whose process has ended counts as empty when no new incarnation is listed. Restarts take two seconds, the entry of the new one up to three more. */
const emptyMilliseconds = 4000;
/** Time for which the refusal of a model says more than the owner and the list. A crashed target comes back empty about two seconds before either knows. */
const missingMilliseconds = 700;
/** The same for an adapter, which the owner can bring back within milliseconds. */
const missingAdapterMilliseconds = 100;

/** Owns the connections to all listed targets and what is known of each. */
export class TargetRegistry extends Disposable {
	/** A target came, went or holds other models, so waiting work may have another choice. */
	readonly changed = new TypedEvent<RegisteredTarget>();
	readonly removed = new TypedEvent<RegisteredTarget>();
	/** A target was listed as another incarnation. */
	readonly restarted = new TypedEvent<RegisteredTarget>();
	private readonly targets = new Map<TargetId, RegisteredTarget>();
	private maximumConnections = new Map<PoolName, number>();
	private hostCount = 8;
	private lastTargetAt = Number.NEGATIVE_INFINITY;
	private ownerHeardAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: TargetRegistryOptions) {
		super();
	}

	/** Takes over the pools of a document. */
	applyDocument(document: ForwardingDocument): void {
		this.maximumConnections = new Map(
			document.pools.map(({name, maximumConnections}) => [
				name,
				maximumConnections,
			]),
		);
	}

	/** Sets the number of hosts that share the connections of each target. */
	setHostCount(count: number): void {
		this.hostCount = Math.max(1, count);
	}

	/** Takes in one change of the list. */
	applyChange(change: TargetListChange): void {
		if (change.kind === 'listed') {
			this.list(change.target);
			return;
		}

		if (change.kind === 'malformed') {
			this.options.events.record(forwardingEvents.targetEntryMalformed, {
				target: change.target,
				reason: change.reason,
			});
		}

		this.unlist(change.target);
	}

	/** Takes in what the owner says. Contents of another incarnation than the listed one are left out. */
	applyContents(contents: readonly PlacedContent[]): void {
		this.ownerHeardAt = this.options.clock.monotonic();
		for (const content of contents) {
			const target = this.targets.get(content.target);
			if (target?.listed.residency.incarnation !== content.incarnation) {
				continue;
			}

			target.isContentFromOwner = true;
			target.content = new Map(
				content.models
					.filter(({isRetiring}) => !isRetiring)
					.map(({model, adapters}) => [model, new Set(adapters)]),
			);
			this.changed.publish(target);
		}
	}

	/** Time since a target came that was not listed before. */
	sinceLastNewTarget(): number {
		return this.options.clock.monotonic() - this.lastTargetAt;
	}

	get(target: TargetId): RegisteredTarget | undefined {
		return this.targets.get(target);
	}

	/** Targets of a pool, the leaving ones included. */
	targetsOfPool(pool: PoolName): RegisteredTarget[] {
		return [...this.targets.values()].filter(
			({listed}) => listed.pool === pool,
		);
	}

	all(): Iterable<RegisteredTarget> {
		return this.targets.values();
	}

	/** Targets that may get a request now. */
	candidates(
		pool: PoolName,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
	): TargetId[] {
		const now = this.options.clock.monotonic();
		const found: TargetId[] = [];
		for (const target of this.targets.values()) {
			const {listed, content, unreachableUntil} = target;
			if (
				listed.pool !== pool ||
				listed.isLeaving ||
				now < unreachableUntil ||
				(model !== undefined && !content.has(model)) ||
				(model !== undefined &&
					adapter !== undefined &&
					!content.get(model)!.has(adapter)) ||
				isMissing(target, {model, adapter}, now)
			) {
				continue;
			}

			found.push(listed.id);
		}

		return found;
	}

	/** Notes that no connection could be made. A target whose process has ended comes back without models. */
	recordUnreachable(target: TargetId, isGone: boolean): void {
		const known = this.targets.get(target);
		if (!known) {
			return;
		}

		const now = this.options.clock.monotonic();
		known.unreachableUntil = now + unreachableMilliseconds;
		if (isGone) {
			known.emptyUntil = now + emptyMilliseconds;
		}
	}

	/** Notes that a target refused a request because it does not hold the model or adapter. */
	recordMissing(
		target: TargetId,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
	): void {
		const known = this.targets.get(target);
		if (!known || model === undefined) {
			return;
		}

		known.missingUntil.set(
			missingKey(model, adapter),
			this.options.clock.monotonic() +
				(adapter === undefined
					? missingMilliseconds
					: missingAdapterMilliseconds),
		);
	}

	/** Connections to a target, made on the first use. */
	getConnections(target: TargetId): TargetConnections | undefined {
		const known = this.targets.get(target);
		if (!known) {
			return undefined;
		}

		known.connections ??= this.connect(known.listed);
		return known.connections;
	}

	async dispose(): Promise<void> {
		await Promise.all(
			[...this.targets.values()].map(async ({connections}) =>
				connections?.dispose(),
			),
		);
		this.targets.clear();
	}

	private list(listed: ListedTarget): void {
		const now = this.options.clock.monotonic();
		const known = this.targets.get(listed.id);
		if (!known) {
			const target: RegisteredTarget = {
				listed,
				listedAt: now,
				content: contentOf(listed),
				isContentFromOwner: false,
				unreachableUntil: 0,
				emptyUntil: 0,
				missingUntil: new Map(),
				connections: undefined,
			};
			this.targets.set(listed.id, target);
			this.lastTargetAt = now;
			this.logListed(listed);
			this.changed.publish(target);
			return;
		}

		const before = known.listed;
		const isRestarted =
			before.residency.incarnation !== listed.residency.incarnation;
		if (isRestarted) {
			known.missingUntil.clear();
			known.emptyUntil = 0;
			this.restarted.publish(known);
		}

		known.listed = listed;
		known.listedAt = now;
		if (isRestarted || before.address !== listed.address) {
			this.disconnect(known);
			known.unreachableUntil = 0;
		}

		// The owner learns of the end of a load before the list does.
		const isOwnerFresh = now - this.ownerHeardAt < ownerFreshMilliseconds;
		if (isRestarted || !known.isContentFromOwner || !isOwnerFresh) {
			known.content = contentOf(listed);
			known.isContentFromOwner = false;
		}

		if (isRestarted || before.isLeaving !== listed.isLeaving) {
			this.logListed(listed);
		}

		this.changed.publish(known);
	}

	private unlist(target: TargetId): void {
		const known = this.targets.get(target);
		if (!known) {
			return;
		}

		this.targets.delete(target);
		this.options.events.record(forwardingEvents.targetUnlisted, {target});
		this.removed.publish(known);
		this.disconnect(known);
	}

	/** Running requests keep their connections until they end. */
	private disconnect(known: RegisteredTarget): void {
		const {connections} = known;
		known.connections = undefined;
		connections?.close();
	}

	private connect(listed: ListedTarget): TargetConnections {
		const limit = this.maximumConnections.get(listed.pool) ?? listed.slots;
		return new TargetConnections({
			address: listed.address,
			maximumConnections: Math.max(
				2,
				Math.floor((limit * connectionShare) / this.hostCount),
			),
		});
	}

	private logListed({id, pool, isLeaving, residency}: ListedTarget): void {
		this.options.events.record(forwardingEvents.targetListed, {
			target: id,
			pool,
			isLeaving,
			incarnation: residency.incarnation,
			models: residency.models.map(({model}) => model),
		});
	}
}

function contentOf({residency}: ListedTarget): Map<ModelId, Set<AdapterId>> {
	return new Map(
		residency.models.map(({model, adapters}) => [model, new Set(adapters)]),
	);
}

function missingKey(model: ModelId, adapter: AdapterId | undefined): string {
	return `${model}/${adapter ?? ''}`;
}

function isMissing(
	{missingUntil, emptyUntil}: RegisteredTarget,
	{
		model,
		adapter,
	}: {
		readonly model: ModelId | undefined;
		readonly adapter: AdapterId | undefined;
	},
	now: number,
): boolean {
	if (model === undefined) {
		return false;
	}

	if (now < emptyUntil) {
		return true;
	}

	return [undefined, adapter].some(
		(name) => now < (missingUntil.get(missingKey(model, name)) ?? -Infinity),
	);
}
