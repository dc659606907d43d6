import {type Clock} from '../../base/common/clock.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type PoolName, type TargetId} from '../../contracts/ids.js';
import {PoolReachability} from '../../contracts/pool-reachability.js';
import {HeldRefusals, type RefusalDecision} from '../streams/held-refusals.js';

/** Kind of an observation that a target does not answer this host. */
export type ReachabilityFailure =
	| 'connect-timeout'
	| 'connect-error'
	| 'connection-refused'
	| 'no-progress'
	| 'connection-reset';

/** What the state of a pool rests on. */
export type ReachabilityEvidence = {
	readonly targets: number;
	/** Targets with a failure since the last contact with any target of the pool. */
	readonly failingTargets: number;
	/** Failures since the last contact by kind. */
	readonly failures: Readonly<Partial<Record<ReachabilityFailure, number>>>;
	readonly sinceContactMilliseconds: number;
	/** Age of the first of the failures, undefined without any. */
	readonly firstFailureAgeMilliseconds: number | undefined;
};

type TargetState = {
	readonly pool: PoolName;
	contactAt: number;
	probedAt: number;
	/** Time until which the result of the last probe is awaited. */
	probeEndsAt: number;
	failedAt: number;
	hasConnectFailure: boolean;
};

type PoolState = {
	readonly targets: Map<TargetId, TargetState>;
	/** Targets with a failure since the last contact. */
	readonly failing: Set<TargetId>;
	readonly failureCounts: Map<ReachabilityFailure, number>;
	firstFailureAt: number | undefined;
	contactAt: number;
	/** When the first request since the last contact was sent. */
	awaitedSince: number | undefined;
	/** When the first probe since the last contact was sent. */
	probedSince: number | undefined;
	/** When the last probe was sent. */
	probedAt: number;
	isCutOff: boolean;
};

/** Shortest time that a failure covers. One that began before the last contact with the pool concerns its target alone. */
const coveredMilliseconds: Readonly<Record<ReachabilityFailure, number>> = {
	'connect-timeout': 350,
	'connect-error': 0,
	'connection-refused': 0,
	'no-progress': 1200,
	'connection-reset': 0,
};
const connectFailures: ReadonlySet<ReachabilityFailure> = new Set([
	'connect-timeout',
	'connect-error',
	'connection-refused',
]);
/** Age from which a failure no longer counts for the decision. */
const failureLifetimeMilliseconds = 5000;
/** Largest number of targets that must fail in a pool of any size. */
const maximumRequiredTargets = 4;
/** Targets that must fail to connect in a pool of more than two targets. Lost attempts alone can concern old connections only. */
const requiredConnectFailures = 2;
/** Silence after a request from which a target of its pool is probed, and silence of a pool from which it can count as cut off: open connections may serve while new ones are refused. */
const silenceMilliseconds = 400;
/** Time without contact from which a target of a pool without requests is probed. */
const idleProbeMilliseconds = 2000;
/** Time within which a target that is reached accepts a connection. While a probe takes longer, further targets are probed. */
const usualConnectMilliseconds = 100;
/** Time within which each probe reports its result. */
const probeLifetimeMilliseconds = 600;
/** Interval between the probes of the pools that are cut off, for the whole host. */
const recoveryProbeIntervalMilliseconds = 500;
/** Probes that the host may send at once, and the rate at which it may send them. */
const probeCapacity = 8;
const probesPerSecond = 2;
/** Probes that are kept for pools with a failure. */
const reservedProbes = 3;

/**
 * Decides from contacts and failures whether this host reaches any target of a pool. A pool is cut off when several of
 * its targets, or all of one or two, have failed since the last contact with any of them. One contact ends that.
 */
export class TargetReachability extends PoolReachability {
	/** A pool was cut off from this host, or is reached again. */
	readonly changed = new TypedEvent<PoolName>();
	/** Probes of a pool are due at once. */
	readonly suspected = new TypedEvent<PoolName>();
	private readonly clock: Clock;
	private readonly targets = new Map<TargetId, TargetState>();
	private readonly pools = new Map<PoolName, PoolState>();
	private readonly refusals: HeldRefusals;
	private availableProbes = probeCapacity;
	private refilledAt: number;
	private recoveryProbeAt = Number.NEGATIVE_INFINITY;

	constructor({clock}: {readonly clock: Clock}) {
		super();
		this.clock = clock;
		this.refilledAt = clock.monotonic();
		this.refusals = new HeldRefusals(clock);
	}

	/** True while this host reaches no target of the pool. */
	isCutOff(pool: PoolName): boolean {
		return this.pools.get(pool)?.isCutOff ?? false;
	}

	/** The pools of which this host reaches no target. */
	cutOffPools(): PoolName[] {
		return [...this.pools]
			.filter(([, {isCutOff}]) => isCutOff)
			.map(([pool]) => pool);
	}

	/** Adds a listed target. */
	addTarget(target: TargetId, pool: PoolName): void {
		if (this.targets.get(target)?.pool === pool) {
			return;
		}

		this.removeTarget(target);
		const state: TargetState = {
			pool,
			contactAt: Number.NEGATIVE_INFINITY,
			probedAt: Number.NEGATIVE_INFINITY,
			probeEndsAt: Number.NEGATIVE_INFINITY,
			failedAt: Number.NEGATIVE_INFINITY,
			hasConnectFailure: false,
		};
		this.targets.set(target, state);
		const poolState = this.pools.get(pool) ?? this.createPool();
		this.pools.set(pool, poolState);
		poolState.targets.set(target, state);
	}

	/** Removes a target that is no longer listed. A pool without targets is not cut off. */
	removeTarget(target: TargetId): void {
		const found = this.find(target);
		if (!found) {
			return;
		}

		const {name, pool} = found;
		this.refusals.refute(target);
		this.targets.delete(target);
		pool.targets.delete(target);
		pool.failing.delete(target);
		if (pool.targets.size === 0) {
			this.pools.delete(name);
			if (pool.isCutOff) {
				this.changed.publish(name);
			}
		}
	}

	/** Records that a request was sent to a target. */
	recordSent(target: TargetId): void {
		const pool = this.find(target)?.pool;
		if (pool) {
			pool.awaitedSince ??= this.clock.monotonic();
		}
	}

	/** Records that a byte of an answer of a target was received. */
	recordData(target: TargetId): void {
		const found = this.find(target);
		if (found) {
			this.refusals.refute(target);
			this.applyContact(found);
		}
	}

	/** Records that a byte of a report of a target was received. No request is sent on the connection, so it is no contact with the pool. */
	recordReportData(target: TargetId): void {
		this.refusals.refute(target);
	}

	/** Records that a new connection to a target opened. */
	recordConnection(target: TargetId): void {
		const found = this.find(target);
		if (found) {
			found.state.probeEndsAt = Number.NEGATIVE_INFINITY;
			this.refusals.applyConnection(target, found.name);
			this.applyContact(found);
		}
	}

	/** Records that a target did not answer this host. A failure that began before the last contact with the pool says nothing about the paths. */
	recordFailure(target: TargetId, kind: ReachabilityFailure): void {
		const found = this.find(target);
		if (!found) {
			return;
		}

		const {name, pool, state} = found;
		const now = this.clock.monotonic();
		const isConnectFailure = connectFailures.has(kind);
		if (isConnectFailure) {
			state.probeEndsAt = Number.NEGATIVE_INFINITY;
		}

		if (now - coveredMilliseconds[kind] < pool.contactAt) {
			return;
		}

		if (!pool.failing.has(target)) {
			pool.failing.add(target);
			state.hasConnectFailure = false;
		}

		state.failedAt = now;
		state.hasConnectFailure ||= isConnectFailure;
		pool.failureCounts.set(kind, (pool.failureCounts.get(kind) ?? 0) + 1);
		pool.firstFailureAt ??= now;
		this.decide(name, pool);
	}

	/** Records that an attempt ended without the rest of its answer. */
	recordLostAttempt(target: TargetId): void {
		const state = this.targets.get(target);
		if (state) {
			const silence = this.clock.monotonic() - state.contactAt;
			this.recordFailure(
				target,
				silence >= coveredMilliseconds['no-progress']
					? 'no-progress'
					: 'connection-reset',
			);
		}
	}

	/**
	 * Decides whether a refused connection proves that the process of its target has ended. The decision follows at once
	 * for a target that is not listed and while its pool is cut off, otherwise when the state of the pool is clear.
	 */
	judgeRefusal(target: TargetId, decide: RefusalDecision): void {
		const found = this.find(target);
		if (!found || found.pool.isCutOff) {
			decide(!found);
			return;
		}

		this.refusals.hold(target, found.name, decide);
		this.suspected.publish(found.name);
	}

	/** Returns the targets to probe now by opening a connection. Each probe must be reported as a connection or a failure. Must be called periodically. */
	takeProbes(): TargetId[] {
		const now = this.clock.monotonic();
		this.refusals.discardExpired();
		this.refill(now);
		const pools = [...this.pools];
		for (const [name, pool] of pools) {
			this.decide(name, pool);
		}

		return [
			...pools.flatMap(([name, pool]) => this.suspicionProbes(name, pool, now)),
			...this.recoveryProbes(now),
			...pools.flatMap(([, pool]) => this.silenceProbes(pool, now)),
		];
	}

	/** What the state of a pool rests on, for logs. */
	evidence(name: PoolName): ReachabilityEvidence | undefined {
		const pool = this.pools.get(name);
		const now = this.clock.monotonic();
		return (
			pool && {
				targets: pool.targets.size,
				failingTargets: pool.failing.size,
				failures: Object.fromEntries(pool.failureCounts),
				sinceContactMilliseconds: now - pool.contactAt,
				firstFailureAgeMilliseconds:
					pool.firstFailureAt === undefined
						? undefined
						: now - pool.firstFailureAt,
			}
		);
	}

	private createPool(): PoolState {
		return {
			targets: new Map(),
			failing: new Set(),
			failureCounts: new Map(),
			firstFailureAt: undefined,
			contactAt: this.clock.monotonic(),
			awaitedSince: undefined,
			probedSince: undefined,
			probedAt: Number.NEGATIVE_INFINITY,
			isCutOff: false,
		};
	}

	private find(target: TargetId) {
		const state = this.targets.get(target);
		const pool = state && this.pools.get(state.pool);
		return state && pool ? {name: state.pool, pool, state} : undefined;
	}

	private applyContact({
		name,
		pool,
		state,
	}: {
		readonly name: PoolName;
		readonly pool: PoolState;
		readonly state: TargetState;
	}): void {
		const now = this.clock.monotonic();
		state.contactAt = now;
		pool.contactAt = now;
		pool.awaitedSince = undefined;
		pool.probedSince = undefined;
		if (pool.failing.size > 0) {
			pool.failing.clear();
			pool.failureCounts.clear();
			pool.firstFailureAt = undefined;
		}

		if (pool.isCutOff) {
			pool.isCutOff = false;
			// The paths to the other pools have probably returned too.
			this.recoveryProbeAt = Number.NEGATIVE_INFINITY;
			this.availableProbes = probeCapacity;
			this.changed.publish(name);
		}
	}

	private decide(name: PoolName, pool: PoolState): void {
		if (!pool.isCutOff && this.hasLostAllPaths(pool)) {
			pool.isCutOff = true;
			this.refusals.discard(name);
			this.changed.publish(name);
		}
	}

	private hasLostAllPaths(pool: PoolState): boolean {
		const count = pool.targets.size;
		if (
			pool.failing.size === 0 ||
			this.clock.monotonic() - pool.contactAt < silenceMilliseconds
		) {
			return false;
		}

		const failing = this.recentFailures(pool);
		const unconnected = failing.filter(
			({hasConnectFailure}) => hasConnectFailure,
		).length;
		return count <= 2
			? unconnected === count
			: failing.length >= requiredTargets(count) &&
					unconnected >= requiredConnectFailures;
	}

	private recentFailures({failing, targets}: PoolState): TargetState[] {
		const oldest = this.clock.monotonic() - failureLifetimeMilliseconds;
		return [...failing]
			.map((target) => targets.get(target)!)
			.filter(({failedAt}) => failedAt >= oldest);
	}

	/** Probes a pool with failures, an undecided refusal or a slow probe until it is reached or cut off. */
	private suspicionProbes(
		name: PoolName,
		pool: PoolState,
		now: number,
	): TargetId[] {
		const refused = this.refusals.targetsOf(name);
		const isSuspect =
			pool.failing.size > 0 ||
			refused.length > 0 ||
			(pool.probedSince !== undefined &&
				now - pool.probedSince >= usualConnectMilliseconds);
		if (pool.isCutOff || !isSuspect) {
			return [];
		}

		const untried: Array<[TargetId, TargetState]> = [];
		let awaited = 0;
		let failed = 0;
		for (const [target, state] of pool.targets) {
			if (now < state.probeEndsAt) {
				awaited++;
			} else if (
				refused.includes(target) ||
				(pool.failing.has(target) &&
					state.hasConnectFailure &&
					now - state.failedAt < failureLifetimeMilliseconds)
			) {
				failed++;
			} else {
				untried.push([target, state]);
			}
		}

		const missing = requiredTargets(pool.targets.size) - failed - awaited;
		// A target that answered lately most probably shows that the pool is reached.
		untried.sort(([, left], [, right]) => right.contactAt - left.contactAt);
		return this.startProbes(pool, untried, {
			count: Math.max(missing, refused.length > 0 && awaited === 0 ? 1 : 0),
			reserved: 0,
		});
	}

	/** Probes a pool whose requests are not answered, or one without requests now and then. */
	private silenceProbes(pool: PoolState, now: number): TargetId[] {
		const isSilent =
			(pool.awaitedSince !== undefined &&
				now - pool.awaitedSince >= silenceMilliseconds) ||
			now - pool.contactAt >= idleProbeMilliseconds;
		const isAwaited =
			pool.probedSince !== undefined &&
			now - pool.probedAt < probeLifetimeMilliseconds;
		return pool.isCutOff || pool.failing.size > 0 || !isSilent || isAwaited
			? []
			: this.startProbes(pool, leastRecentlyProbed(pool), {
					count: 1,
					reserved: reservedProbes,
				});
	}

	/** Probes the pools that are cut off in turn. */
	private recoveryProbes(now: number): TargetId[] {
		const [pool] = [...this.pools.values()]
			.filter(({isCutOff}) => isCutOff)
			.sort((left, right) => left.probedAt - right.probedAt);
		if (
			!pool ||
			now - this.recoveryProbeAt < recoveryProbeIntervalMilliseconds
		) {
			return [];
		}

		const probes = this.startProbes(pool, leastRecentlyProbed(pool), {
			count: 1,
			reserved: 0,
		});
		if (probes.length > 0) {
			this.recoveryProbeAt = now;
		}

		return probes;
	}

	private startProbes(
		pool: PoolState,
		candidates: ReadonlyArray<[TargetId, TargetState]>,
		{count, reserved}: {readonly count: number; readonly reserved: number},
	): TargetId[] {
		const now = this.clock.monotonic();
		const allowed = Math.floor(this.availableProbes - reserved);
		const probed = candidates.slice(0, Math.max(0, Math.min(count, allowed)));
		for (const [, state] of probed) {
			state.probedAt = now;
			state.probeEndsAt = now + probeLifetimeMilliseconds;
			pool.probedAt = now;
			pool.probedSince ??= now;
		}

		this.availableProbes -= probed.length;
		return probed.map(([target]) => target);
	}

	private refill(now: number): void {
		this.availableProbes = Math.min(
			probeCapacity,
			this.availableProbes + ((now - this.refilledAt) / 1000) * probesPerSecond,
		);
		this.refilledAt = now;
	}
}

/** Number of targets of a pool that must fail, more than a third of the pool. */
function requiredTargets(count: number): number {
	return Math.min(count, maximumRequiredTargets, Math.ceil(count / 3) + 1);
}

function leastRecentlyProbed({
	targets,
}: PoolState): Array<[TargetId, TargetState]> {
	return [...targets].sort(
		([, left], [, right]) => left.probedAt - right.probedAt,
	);
}
