import {err, errAsync, ok, type ResultAsync} from 'neverthrow';
import {type Disposable} from '../base/common/disposable.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {
	type FencingToken,
	type HostId,
	type IncarnationId,
	type LeaseName,
} from '../contracts/ids.js';
import {LogError} from '../contracts/log-service.js';
import {
	defaultLeaseTiming,
	LeasePolicy,
	leaseNamesOfDocument,
	type HeldLease,
	type LeaseClaim,
	type LeaseTiming,
} from '../core/leases/lease-policy.js';
import {type LogFollower} from './log-follower.js';
import {type ServiceOptions} from './service-options.js';

/** Options of a lease manager. */
export type LeaseManagerOptions = ServiceOptions & {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly follower: LogFollower;
	/** Returns the hosts that may hold leases, this one included. */
	readonly liveHosts: () => readonly HostId[];
	/** Returns the leases that some host must hold. Default: the leases of the document in force. */
	readonly requiredLeases?: () => readonly LeaseName[];
	readonly timing?: LeaseTiming;
	/** Interval between decisions. Default: 500. */
	readonly tickIntervalMilliseconds?: number;
};

/** A lease that this host acquired or lost, and why. */
export type LeaseChange = HeldLease & {readonly reason: string};

/** A claim of a lease was rejected. */
export class LeaseClaimError extends LogError {
	override readonly name = 'LeaseClaimError';
}

type Confirmation = {readonly token: FencingToken; readonly at: number};

/** Acquires, renews and releases the leases of this host through records of the control stream. */
export class LeaseManager implements Disposable {
	/** This host acquired a lease with the given fencing token. */
	readonly leaseAcquired = new TypedEvent<LeaseChange>();
	/** This host no longer holds a lease. */
	readonly leaseLost = new TypedEvent<LeaseChange>();

	private readonly policy: LeasePolicy;
	private readonly timing: LeaseTiming;
	/** Token and submission time of the last accepted claim or renewal of each lease. */
	private readonly confirmations = new Map<LeaseName, Confirmation>();
	private readonly publishedTokens = new Map<LeaseName, FencingToken>();
	private readonly claiming = new Set<LeaseName>();
	private readonly releasing = new Set<LeaseName>();
	private isRenewing = false;
	private isStopping = false;
	private lastTickAt: number;
	/** After a pause, unconfirmed leases count as held only once the host has caught up later than this monotonic time. */
	private resumedAt = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;
	private readonly subscription: Disposable;

	constructor(private readonly options: LeaseManagerOptions) {
		this.timing = options.timing ?? defaultLeaseTiming;
		this.policy = new LeasePolicy(
			options.host,
			options.incarnation,
			this.timing,
		);
		this.lastTickAt = options.clock.monotonic();
		this.subscription = options.follower.recordApplied.subscribe(
			({outcome}) => {
				if (outcome.accepted) {
					this.publishChanges();
				}
			},
		);
	}

	/** Leases that this host may act on at this moment, with their fencing tokens. Read it immediately before acting. */
	get heldLeases(): ReadonlyMap<LeaseName, FencingToken> {
		const held = new Map<LeaseName, FencingToken>();
		for (const lease of this.options.follower.control.leases.values()) {
			if (
				lease.incarnation === this.options.incarnation &&
				!lease.released &&
				!this.releasing.has(lease.lease) &&
				this.canAct(lease.lease, lease.token)
			) {
				held.set(lease.lease, lease.token);
			}
		}

		return held;
	}

	/**
	 * True while the last accepted claim or renewal of a held lease has not expired by the clock of this host.
	 * A lease can be held unconfirmed during a log outage. Orders may then be sent only to targets that honour fencing.
	 */
	isConfirmed(lease: LeaseName): boolean {
		const token = this.heldLeases.get(lease);
		return token !== undefined && this.isUnexpired(lease, token);
	}

	/**
	 * Claims a held lease again to obtain a higher fencing token. Fails if the lease is not held, or if another
	 * record of the lease, such as a renewal by this host, was applied first. In the second case the caller can retry.
	 */
	reclaim(
		lease: LeaseName,
		reason: string,
	): ResultAsync<FencingToken, LogError> {
		const {follower, host, incarnation, clock} = this.options;
		const current = follower.control.leases.get(lease);
		if (!current || !this.heldLeases.has(lease)) {
			return errAsync(
				new LeaseClaimError(`This host does not hold the lease "${lease}".`),
			);
		}

		const submittedAt = clock.monotonic();
		return follower
			.submit({
				kind: 'lease-claimed',
				lease,
				holder: host,
				incarnation,
				expectedOffset: current.lastOffset,
				reason,
				time: clock.wall(),
			})
			.andThen((outcome) => {
				if (!outcome.accepted) {
					return err(new LeaseClaimError(outcome.reason));
				}

				const token = outcome.offset as number as FencingToken;
				this.confirmations.set(lease, {token, at: submittedAt});
				this.publishChanges();
				return ok(token);
			});
	}

	/** Starts the periodic decisions. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.tick();
		}, this.options.tickIntervalMilliseconds ?? 500);
	}

	/** Decides once which leases to claim, renew and release. Resolves when every submitted record has an outcome. */
	async tick(): Promise<void> {
		this.detectPause();
		const {follower, clock} = this.options;
		if (this.isStopping || follower.state === 'starting') {
			return;
		}

		this.publishChanges();
		const {control} = follower;
		const decision = this.policy.decide({
			now: clock.monotonic(),
			logReachableSince: follower.logReachableSince,
			wantedLeases:
				this.options.requiredLeases?.() ??
				leaseNamesOfDocument(control.document),
			leases: control.leases,
			hosts: control.hosts,
			liveHosts: this.options.liveHosts(),
			renewedAt: new Map(
				[...this.confirmations].map(([lease, {at}]) => [lease, at]),
			),
		});
		const renewals = decision.renewals.filter(
			({lease}) => !this.releasing.has(lease),
		);
		await Promise.all([
			...decision.claims.map(async (claim) => this.claim(claim)),
			...decision.releases.map(async (held) => this.release(held)),
			this.renew(renewals),
		]);
	}

	/** Releases all leases of this host for a planned stop. Resolves when every release has an outcome. */
	async releaseAll(): Promise<void> {
		this.isStopping = true;
		const own = [...this.options.follower.control.leases.values()].filter(
			(lease) =>
				lease.incarnation === this.options.incarnation && !lease.released,
		);
		await Promise.all(own.map(async (lease) => this.release(lease)));
	}

	dispose(): void {
		this.isStopping = true;
		clearInterval(this.timer);
		void this.subscription.dispose();
	}

	private canAct(lease: LeaseName, token: FencingToken): boolean {
		const {follower, clock} = this.options;
		const now = clock.monotonic();
		if (this.isUnexpired(lease, token)) {
			return true;
		}

		// No host can claim a lease while the log is unavailable to all of them. The outage may concern this host
		// alone, so it must have run without a pause and have recently applied the records of its peers.
		return (
			follower.state === 'outage' &&
			this.confirmations.get(lease)?.token === token &&
			now - this.lastTickAt <= this.pauseThresholdMilliseconds &&
			follower.lastCaughtUpAt > this.resumedAt &&
			now - follower.lastCaughtUpAt <= this.timing.durationMilliseconds
		);
	}

	private isUnexpired(lease: LeaseName, token: FencingToken): boolean {
		const confirmation = this.confirmations.get(lease);
		return (
			confirmation?.token === token &&
			this.options.clock.monotonic() - confirmation.at <
				this.timing.durationMilliseconds
		);
	}

	private get pauseThresholdMilliseconds(): number {
		return Math.max(
			this.timing.renewalIntervalMilliseconds,
			(this.options.tickIntervalMilliseconds ?? 500) * 4,
		);
	}

	private detectPause(): void {
		const now = this.options.clock.monotonic();
		if (now - this.lastTickAt > this.pauseThresholdMilliseconds) {
			this.resumedAt = now;
			this.options.events.record(agreementEvents.hostPaused, {
				milliseconds: Math.round(now - this.lastTickAt),
			});
		}

		this.lastTickAt = now;
	}

	private async claim(claim: LeaseClaim): Promise<void> {
		if (this.claiming.has(claim.lease)) {
			return;
		}

		this.claiming.add(claim.lease);
		const {follower, host, incarnation, clock} = this.options;
		const submittedAt = clock.monotonic();
		const result = await follower.submit({
			kind: 'lease-claimed',
			...claim,
			holder: host,
			incarnation,
			time: clock.wall(),
		});
		this.claiming.delete(claim.lease);
		if (result.isOk() && result.value.accepted) {
			this.confirmations.set(claim.lease, {
				token: result.value.offset as number as FencingToken,
				at: submittedAt,
			});
			this.publishChanges();
		}
	}

	private async renew(leases: readonly HeldLease[]): Promise<void> {
		if (this.isRenewing || leases.length === 0) {
			return;
		}

		this.isRenewing = true;
		const {follower, incarnation, clock} = this.options;
		const submittedAt = clock.monotonic();
		const result = await follower.submit({
			kind: 'leases-renewed',
			incarnation,
			leases: [...leases],
		});
		this.isRenewing = false;
		if (result.isErr() || !result.value.accepted) {
			return;
		}

		for (const {lease, token} of leases) {
			if (follower.control.isCurrentToken(lease, token)) {
				this.confirmations.set(lease, {token, at: submittedAt});
			}
		}

		this.publishChanges();
	}

	private async release({lease, token}: HeldLease): Promise<void> {
		if (this.releasing.has(lease)) {
			return;
		}

		// This host must stop acting on the lease before other hosts can read that it was released.
		this.releasing.add(lease);
		this.confirmations.delete(lease);
		this.publishChanges();
		const {follower, clock} = this.options;
		await follower.submit({
			kind: 'lease-released',
			lease,
			token,
			time: clock.wall(),
		});
		this.releasing.delete(lease);
	}

	private publishChanges(): void {
		const {events, metrics} = this.options;
		const held = this.heldLeases;
		for (const [lease, token] of this.publishedTokens) {
			if (held.get(lease) === token) {
				continue;
			}

			this.publishedTokens.delete(lease);
			const reason = this.lossReason(lease, token);
			events.record(agreementEvents.leaseLost, {lease, token, reason});
			this.leaseLost.publish({lease, token, reason});
		}

		for (const [lease, token] of held) {
			if (this.publishedTokens.has(lease)) {
				continue;
			}

			this.publishedTokens.set(lease, token);
			const reason =
				this.options.follower.control.leases.get(lease)?.reason ?? '';
			events.record(agreementEvents.leaseAcquired, {lease, token, reason});
			this.leaseAcquired.publish({lease, token, reason});
		}

		metrics.gauge('daisylever_leases_held', held.size);
	}

	private lossReason(lease: LeaseName, token: FencingToken): string {
		const current = this.options.follower.control.leases.get(lease);
		if (this.releasing.has(lease) || current?.released) {
			return 'released';
		}

		return current && current.token !== token
			? `claimed by ${current.holder}`
			: 'not renewed in time';
	}
}
