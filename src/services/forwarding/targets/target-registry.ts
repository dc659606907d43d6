import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {type PolledQueue} from '../../../base/node/polled-queue.js';
import {type MissingArtifact} from '../../../contracts/artifact.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {
	type AdapterId,
	type ModelId,
	type PoolName,
	type SoftwareVersion,
	type TargetId,
	type TargetIncarnation,
} from '../../../contracts/ids.js';
import {
	type EntryRevision,
	type ListedTarget,
	type TargetListChange,
} from '../../../contracts/listed-target.js';
import {type HoldBackRequest} from '../../../contracts/request-codec.js';
import {EntryRevisions} from '../../../core/membership/entry-revisions.js';
import {HoldBacks} from '../../../core/routing/hold-backs.js';
import {LogLimiter} from '../../../core/limits/log-limiter.js';
import {
	LeavingTargets,
	type LeavingTarget,
} from '../../../core/routing/leaving-targets.js';
import {TargetReachability} from '../../../core/routing/target-reachability.js';
import {TargetConnections} from './target-connections.js';

/** Content of a target as sent by the placement owner. */
export type PlacedContent = {
	readonly target: TargetId;
	readonly incarnation: TargetIncarnation;
	/** Resident models with their adapters. Models that are being retired get no new work. */
	readonly models: ReadonlyArray<{
		readonly model: ModelId;
		readonly adapters: readonly AdapterId[];
		readonly isRetiring: boolean;
	}>;
};

/** State that this host tracks for a target, and its connections. */
export type RegisteredTarget = {
	listed: ListedTarget;
	/** Monotonic time at which the entry of the target list was read. */
	listedAt: number;
	/** Models that get new work, with their adapters. */
	content: Map<ModelId, Set<AdapterId>>;
	/** True when the content of this incarnation comes from the owner rather than from the target list. */
	isContentFromOwner: boolean;
	/** Monotonic time until which the target gets no new work, because it could not be reached. */
	unreachableUntil: number;
	/** Monotonic time until which the target counts as holding no model, because its process has ended. Reset when a new incarnation is listed. */
	emptyUntil: number;
	/** Models and adapters that the target refused, with the monotonic time until which each counts as missing. */
	missingUntil: Map<string, number>;
	/** Undefined until the first use. */
	connections: TargetConnections | undefined;
};

/** Why a target gets no request, for reasons that the registry knows. */
export type TargetUnsuitability =
	| 'leaving'
	| 'other-version'
	| 'unreachable'
	| 'model-missing'
	| 'adapter-missing'
	/** The target has refused the model or adapter, or its process has ended. */
	| 'refused-as-missing';

type NeededArtifacts = {
	readonly model: ModelId | undefined;
	readonly adapter: AdapterId | undefined;
};

/** Options of the target registry. */
export type TargetRegistryOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Delays the use of new connections to targets. No delay if absent. */
	readonly polls?: PolledQueue | undefined;
};

/** Share of the connections accepted by a target that all hosts together use. The rest is reserved for hosts that start. */
const connectionShare = 0.7;
/** Time since the last response of the owner up to which its contents take precedence over the target list. */
const ownerPrecedenceMilliseconds = 2000;
/** Time for which a target gets no new work after a failed connection. A restarted target is available again after seconds. */
const unreachableMilliseconds = 300;
/** Time for which a target whose process has ended counts as empty when no new incarnation is listed. A restart takes two seconds, and the entry of the new incarnation up to three more. */
const emptyMilliseconds = 4000;
/** Time for which the refusal of a model takes precedence over the owner and the target list. A crashed target restarts empty about two seconds before either reports it. */
const missingModelMilliseconds = 700;
/** Time for which the refusal of an adapter takes precedence. The owner can load the adapter again within milliseconds. */
const missingAdapterMilliseconds = 100;

/** Interval between two log events about invalid headers of a target. */
const invalidLogIntervalMilliseconds = 60_000;
/** Log lines about malformed entries in a minute: one for each target, and of all targets together this number. */
const malformedLogLimits = {intervalMilliseconds: 60_000, maximumLines: 60};
/** Models of a target in a log line. */
const maximumLoggedModels = 64;

/** Registry of all listed targets with their connections and tracked state. */
export class TargetRegistry extends Disposable {
	/** A target was listed or its entry or content has changed, so the candidates for queued requests may differ. */
	readonly changed = new TypedEvent<RegisteredTarget>();
	/** A target was removed from the list. */
	readonly removed = new TypedEvent<RegisteredTarget>();
	/** A target was listed with another incarnation. Published before the new entry is applied. */
	readonly restarted = new TypedEvent<RegisteredTarget>();
	/** A target turned this host away for some time. */
	readonly heldBack = new TypedEvent<RegisteredTarget>();
	/** A target said in an answer that it leaves, which other hosts should know. */
	readonly leavingObserved = new TypedEvent<LeavingTarget>();
	/** Whether this host reaches the targets of each pool. */
	readonly reachability: TargetReachability;
	private readonly targets = new Map<TargetId, RegisteredTarget>();
	private readonly revisions: EntryRevisions;
	private readonly leaving: LeavingTargets;
	private readonly holdBacks: HoldBacks;
	private readonly holdTimers = new Map<TargetId, NodeJS.Timeout>();
	/** Monotonic time at which an invalid header of a target was last logged. */
	private readonly invalidLoggedAt = new Map<TargetId, number>();
	private readonly malformedLog: LogLimiter;
	private maximumConnections = new Map<PoolName, number>();
	private hostCount = 8;
	private lastNewTargetAt = Number.NEGATIVE_INFINITY;
	private ownerUpdatedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: TargetRegistryOptions) {
		super();
		this.reachability = new TargetReachability(options);
		this.reachability.changed.subscribe((pool) => {
			this.useReachedTargets(pool);
		});
		this.revisions = new EntryRevisions(options.clock);
		this.leaving = new LeavingTargets(options.clock);
		this.holdBacks = new HoldBacks(options.clock);
		this.malformedLog = new LogLimiter({
			clock: options.clock,
			...malformedLogLimits,
		});
	}

	/** Applies the connection limits of a document. */
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

	/** Applies one change of the target list. An entry that is older than one seen before is ignored. A target with a malformed entry is removed. */
	applyChange(change: TargetListChange): void {
		if (change.kind === 'renewed') {
			this.revisions.renew(change.target, change.revision);
			return;
		}

		if (change.kind === 'listed') {
			const {id, revision} = change.target;
			if (this.revisions.accept(id, revision)) {
				this.list(change.target);
			} else {
				this.logOutdated(id, revision);
			}

			return;
		}

		this.revisions.remove(
			change.target,
			change.kind === 'unlisted' ? change.revision : undefined,
		);

		if (change.kind === 'malformed') {
			this.logMalformed(change.target, change.reason);
		}

		this.unlist(change.target);
	}

	/** Applies contents that the owner sent the given time ago. Contents of an incarnation other than the listed one are ignored. */
	applyContents(
		contents: readonly PlacedContent[],
		ageMilliseconds: number,
	): void {
		this.ownerUpdatedAt = Math.max(
			this.ownerUpdatedAt,
			this.options.clock.monotonic() - ageMilliseconds,
		);
		for (const content of contents) {
			const target = this.targets.get(content.target);
			if (target?.listed.residency.incarnation !== content.incarnation) {
				continue;
			}

			const placed = new Map(
				content.models
					.filter(({isRetiring}) => !isRetiring)
					.map(({model, adapters}) => [model, new Set(adapters)]),
			);
			if (target.isContentFromOwner && isSameContent(target.content, placed)) {
				continue;
			}

			target.isContentFromOwner = true;
			target.content = placed;
			this.changed.publish(target);
		}
	}

	/** Returns to the contents of the target list once the owner has been silent for too long. Must be called periodically. */
	revertExpiredContents(): void {
		if (this.hasOwnerPrecedence()) {
			return;
		}

		for (const target of this.targets.values()) {
			if (target.isContentFromOwner) {
				target.isContentFromOwner = false;
				target.content = contentOf(target.listed);
				this.changed.publish(target);
			}
		}
	}

	/** Milliseconds since the last new target was listed, infinite when there was none. */
	sinceLastNewTarget(): number {
		return this.options.clock.monotonic() - this.lastNewTargetAt;
	}

	/** Returns a target, or undefined if it is not listed. */
	get(target: TargetId): RegisteredTarget | undefined {
		return this.targets.get(target);
	}

	/** Targets of a pool, including those that are leaving. */
	targetsOfPool(pool: PoolName): RegisteredTarget[] {
		return [...this.targets.values()].filter(
			({listed}) => listed.pool === pool,
		);
	}

	/** Returns the newest revision of the entry of a target that this host has seen, also after its removal. */
	revisionOf(target: TargetId): EntryRevision | undefined {
		return this.revisions.get(target);
	}

	/** All listed targets. */
	all(): Iterable<RegisteredTarget> {
		return this.targets.values();
	}

	/** True while a target of the pool with this software version gets new work. */
	hasVersion(pool: PoolName, version: SoftwareVersion): boolean {
		return this.targetsOfPool(pool).some(
			({listed}) => !listed.isLeaving && versionOf(listed) === version,
		);
	}

	/** Targets to which a request for the model and adapter can be sent now. A stream that has begun goes on only at targets of its software version. */
	candidates(
		pool: PoolName,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
		version?: SoftwareVersion,
	): TargetId[] {
		return this.suitableTargets(pool, model, adapter, version).filter(
			(target) => !this.holdBacks.isHeld(target),
		);
	}

	/** The other targets of the pool, with the first reason for which each gets no request for the model and adapter. */
	unsuitableTargets(
		pool: PoolName,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
	): Map<TargetId, TargetUnsuitability | 'held-back'> {
		const now = this.options.clock.monotonic();
		const found = new Map<TargetId, TargetUnsuitability | 'held-back'>();
		for (const target of this.targetsOfPool(pool)) {
			const {id} = target.listed;
			const reason =
				findUnsuitability(target, {model, adapter, version: undefined}, now) ??
				(this.isHeldBack(id) ? 'held-back' : undefined);
			if (reason) {
				found.set(id, reason);
			}
		}

		return found;
	}

	/** Returns what no target of the pool offers of a model and adapter, whether the targets that do can be used now or not. */
	findMissing(
		pool: PoolName,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
	): MissingArtifact | undefined {
		if (model === undefined) {
			return undefined;
		}

		const holders = this.targetsOfPool(pool).filter(
			({listed, content}) => !listed.isLeaving && content.has(model),
		);
		if (holders.length === 0) {
			return 'model';
		}

		return adapter === undefined ||
			holders.some(({content}) => content.get(model)?.has(adapter))
			? undefined
			: 'adapter';
	}

	/** Time until the first of the targets that turned this host away may get a request for the model and adapter. Undefined if another target may get it now, or if there is none at all. */
	holdMilliseconds(
		pool: PoolName,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
		version?: SoftwareVersion,
	): number | undefined {
		const remaining = this.suitableTargets(pool, model, adapter, version).map(
			(target) => this.holdBacks.remainingMilliseconds(target),
		);
		const shortest = Math.min(...remaining);
		return remaining.length > 0 && shortest > 0 ? shortest : undefined;
	}

	/** True while a target that turned this host away wants nothing from it. */
	isHeldBack(target: TargetId): boolean {
		return this.holdBacks.isHeld(target);
	}

	/** Records that a target turned this host away. Called at the head and at the end of its answer, from which the time counts. */
	recordHoldBack(target: TargetId, request: HoldBackRequest): void {
		const registered = this.targets.get(target);
		if (!registered) {
			return;
		}

		if (request.kind === 'invalid') {
			this.logInvalidHeader(target, request.value);
			return;
		}

		const {events} = this.options;
		const isNew = this.holdBacks.hold(target, request.milliseconds);
		const remaining = this.holdBacks.remainingMilliseconds(target);
		if (isNew) {
			events.record(forwardingEvents.targetHeldBack, {
				target,
				milliseconds: Math.round(remaining),
			});
		}

		if (remaining === 0) {
			return;
		}

		clearTimeout(this.holdTimers.get(target));
		this.holdTimers.set(
			target,
			setTimeout(() => {
				this.endHold(target);
			}, Math.ceil(remaining)),
		);
		if (isNew) {
			this.heldBack.publish(registered);
		}
	}

	/** Records that a target could not be reached. If its process has ended, it holds no models after its restart. A refused connection alone does not prove that. */
	recordUnreachable(target: TargetId, isConnectionRefused: boolean): void {
		const registered = this.targets.get(target);
		if (!registered) {
			return;
		}

		const now = this.options.clock.monotonic();
		registered.unreachableUntil = now + unreachableMilliseconds;
		this.reachability.recordFailure(
			target,
			isConnectionRefused ? 'connection-refused' : 'connect-timeout',
		);
		if (!isConnectionRefused) {
			return;
		}

		const {incarnation} = registered.listed.residency;
		this.reachability.judgeRefusal(target, (isProof) => {
			if (isProof && registered.listed.residency.incarnation === incarnation) {
				registered.emptyUntil = now + emptyMilliseconds;
			}
		});
	}

	/** Records that a target refused a request because it does not hold the model or adapter. */
	recordMissing(
		target: TargetId,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
	): void {
		const registered = this.targets.get(target);
		if (!registered || model === undefined) {
			return;
		}

		registered.missingUntil.set(
			missingKey(model, adapter),
			this.options.clock.monotonic() +
				(adapter === undefined
					? missingModelMilliseconds
					: missingAdapterMilliseconds),
		);
	}

	/** Records that a target said that it leaves: in an answer to this host, or to another one that passed it on. Until another incarnation is listed, it gets no new work. */
	recordLeaving({target, incarnation}: LeavingTarget): void {
		if (!this.leaving.record({target, incarnation})) {
			return;
		}

		const registered = this.targets.get(target);
		if (
			registered?.listed.residency.incarnation === incarnation &&
			!registered.listed.isLeaving
		) {
			registered.listed = {...registered.listed, isLeaving: true};
			this.logListed(registered.listed);
			this.changed.publish(registered);
		}

		this.leavingObserved.publish({target, incarnation});
	}

	/** Targets that said in an answer lately that they leave, for other hosts. */
	leavingTargets(): readonly LeavingTarget[] {
		return this.leaving.recent();
	}

	/** True when all targets of the pool leave. */
	isLeavingAltogether(pool: PoolName): boolean {
		const targets = this.targetsOfPool(pool);
		return targets.length > 0 && targets.every(({listed}) => listed.isLeaving);
	}

	/** Returns the connections to a target, which are created on the first use, or undefined if it is not listed. */
	getConnections(target: TargetId): TargetConnections | undefined {
		const registered = this.targets.get(target);
		if (!registered) {
			return undefined;
		}

		registered.connections ??= this.connect(registered.listed);
		return registered.connections;
	}

	async dispose(): Promise<void> {
		for (const timer of this.holdTimers.values()) {
			clearTimeout(timer);
		}

		await Promise.all(
			[...this.targets.values()].map(async ({connections}) =>
				connections?.dispose(),
			),
		);
		this.targets.clear();
	}

	/** The targets of a pool that this host reaches again get work at once. */
	private useReachedTargets(pool: PoolName): void {
		if (!this.reachability.isCutOff(pool)) {
			for (const target of this.targetsOfPool(pool)) {
				target.unreachableUntil = 0;
			}
		}
	}

	private suitableTargets(
		pool: PoolName,
		model: ModelId | undefined,
		adapter: AdapterId | undefined,
		version: SoftwareVersion | undefined,
	): TargetId[] {
		const now = this.options.clock.monotonic();
		const found: TargetId[] = [];
		for (const target of this.targets.values()) {
			if (
				target.listed.pool === pool &&
				!findUnsuitability(target, {model, adapter, version}, now)
			) {
				found.push(target.listed.id);
			}
		}

		return found;
	}

	private list(entry: ListedTarget): void {
		const listed =
			!entry.isLeaving &&
			this.leaving.isLeaving(entry.id, entry.residency.incarnation)
				? {...entry, isLeaving: true}
				: entry;
		const now = this.options.clock.monotonic();
		this.reachability.addTarget(listed.id, listed.pool);
		const registered = this.targets.get(listed.id);
		if (!registered) {
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
			this.lastNewTargetAt = now;
			this.logListed(listed);
			this.changed.publish(target);
			return;
		}

		const before = registered.listed;
		const isRestarted =
			before.residency.incarnation !== listed.residency.incarnation;
		if (isRestarted) {
			this.forgetHold(listed.id);
			registered.missingUntil.clear();
			registered.emptyUntil = 0;
			this.restarted.publish(registered);
		}

		registered.listed = listed;
		registered.listedAt = now;
		if (isRestarted || before.address !== listed.address) {
			this.disconnect(registered);
			registered.unreachableUntil = 0;
		}

		// The owner detects the end of a load before the target list shows it.
		if (
			isRestarted ||
			!registered.isContentFromOwner ||
			!this.hasOwnerPrecedence()
		) {
			registered.content = contentOf(listed);
			registered.isContentFromOwner = false;
		}

		if (isRestarted || before.isLeaving !== listed.isLeaving) {
			this.logListed(listed);
		}

		this.changed.publish(registered);
	}

	private hasOwnerPrecedence(): boolean {
		return (
			this.options.clock.monotonic() - this.ownerUpdatedAt <
			ownerPrecedenceMilliseconds
		);
	}

	private unlist(target: TargetId): void {
		const registered = this.targets.get(target);
		if (!registered) {
			return;
		}

		this.targets.delete(target);
		this.reachability.removeTarget(target);
		this.forgetHold(target);
		this.options.events.record(forwardingEvents.targetUnlisted, {target});
		this.removed.publish(registered);
		this.disconnect(registered);
	}

	/** Closes the connections. Requests in flight keep theirs until they end. */
	private disconnect(registered: RegisteredTarget): void {
		const {connections} = registered;
		registered.connections = undefined;
		connections?.close();
	}

	private connect(listed: ListedTarget): TargetConnections {
		const limit = this.maximumConnections.get(listed.pool) ?? listed.slots;
		return new TargetConnections({
			address: listed.address,
			polls: this.options.polls,
			onConnected: () => {
				this.reachability.recordConnection(listed.id);
			},
			onData: () => {
				this.reachability.recordData(listed.id);
			},
			onReportData: () => {
				this.reachability.recordReportData(listed.id);
			},
			maximumConnections: Math.max(
				2,
				Math.floor((limit * connectionShare) / this.hostCount),
			),
		});
	}

	private endHold(target: TargetId): void {
		this.holdTimers.delete(target);
		const registered = this.targets.get(target);
		if (registered) {
			this.options.events.record(forwardingEvents.targetUsedAgain, {target});
			this.changed.publish(registered);
		}
	}

	private forgetHold(target: TargetId): void {
		this.holdBacks.forget(target);
		clearTimeout(this.holdTimers.get(target));
		this.holdTimers.delete(target);
	}

	private logInvalidHeader(target: TargetId, value: string): void {
		const now = this.options.clock.monotonic();
		const loggedAt = this.invalidLoggedAt.get(target);
		if (
			loggedAt === undefined ||
			now - loggedAt >= invalidLogIntervalMilliseconds
		) {
			this.invalidLoggedAt.set(target, now);
			this.options.events.record(forwardingEvents.targetHeaderInvalid, {
				target,
				value,
			});
		}
	}

	private logMalformed(target: TargetId, reason: string): void {
		const omittedLines = this.malformedLog.admit(target);
		if (omittedLines !== undefined) {
			this.options.events.record(forwardingEvents.targetEntryMalformed, {
				target,
				reason,
				omittedLines,
			});
		}
	}

	private logOutdated(
		target: TargetId,
		revision: EntryRevision | undefined,
	): void {
		this.options.events.record(forwardingEvents.targetEntryOutdated, {
			target,
			writes: revision?.writes,
			knownWrites: this.revisions.get(target)?.writes,
			isListed: this.targets.has(target),
		});
	}

	private logListed({id, pool, isLeaving, residency}: ListedTarget): void {
		this.options.events.record(forwardingEvents.targetListed, {
			target: id,
			pool,
			isLeaving,
			incarnation: residency.incarnation,
			models: residency.models
				.slice(0, maximumLoggedModels)
				.map(({model}) => model),
		});
	}
}

/** Version of targets whose entries name none. */
const unnamedVersion = 'unnamed' as SoftwareVersion;

/** Returns the software version of a target. Targets that name none count as being of one version. */
export function versionOf({softwareVersion}: ListedTarget): SoftwareVersion {
	return softwareVersion ?? unnamedVersion;
}

function contentOf({residency}: ListedTarget): Map<ModelId, Set<AdapterId>> {
	return new Map(
		residency.models.map(({model, adapters}) => [model, new Set(adapters)]),
	);
}

function isSameContent(
	left: RegisteredTarget['content'],
	right: RegisteredTarget['content'],
): boolean {
	if (left.size !== right.size) {
		return false;
	}

	for (const [model, adapters] of left) {
		const others = right.get(model);
		if (
			others?.size !== adapters.size ||
			[...adapters].some((adapter) => !others.has(adapter))
		) {
			return false;
		}
	}

	return true;
}

function missingKey(model: ModelId, adapter: AdapterId | undefined): string {
	return `${model}/${adapter ?? ''}`;
}

function isMissing(
	{missingUntil, emptyUntil}: RegisteredTarget,
	{model, adapter}: NeededArtifacts,
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

/** Returns the first reason for which a target of the pool gets no request. */
function findUnsuitability(
	target: RegisteredTarget,
	{
		model,
		adapter,
		version,
	}: NeededArtifacts & {readonly version: SoftwareVersion | undefined},
	now: number,
): TargetUnsuitability | undefined {
	const {listed, content, unreachableUntil} = target;
	if (listed.isLeaving) {
		return 'leaving';
	}

	if (version !== undefined && versionOf(listed) !== version) {
		return 'other-version';
	}

	if (now < unreachableUntil) {
		return 'unreachable';
	}

	if (model !== undefined && !content.has(model)) {
		return 'model-missing';
	}

	if (
		model !== undefined &&
		adapter !== undefined &&
		!content.get(model)!.has(adapter)
	) {
		return 'adapter-missing';
	}

	return isMissing(target, {model, adapter}, now)
		? 'refused-as-missing'
		: undefined;
}
