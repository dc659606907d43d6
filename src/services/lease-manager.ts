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
} from '../core/lease-policy.js';
import {type LogFollower} from './log-follower.js';
import {type ServiceOptions} from './service-options.js';

/** Options of the lease keeper. */
export type LeaseManagerOptions = ServiceOptions & {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly follower: LogFollower;
	/** Returns the hosts that may hold leases, this one included. */
	readonly liveHosts: () => readonly HostId[];
	/** Returns the leases that somebody must hold. By default, those of the document in force. */
	readonly requiredLeases?: () => readonly LeaseName[];
	readonly timing?: LeaseTiming;
	readonly tickIntervalMilliseconds?: number;
};

/** A lease that this host acquired or lost. */
export type LeaseChange = HeldLease & {readonly reason: string};

/** A claim was not accepted. */
export class LeaseClaimError extends LogError {
	override readonly name = 'LeaseClaimError';
}

type Confirmation = {readonly token: FencingToken; readonly at: number};

/** Claims, renews and releases the leases of one host. */
export class LeaseManager implements Disposable {
	/** This host holds a lease with the given token. */
	readonly leaseAcquired = new TypedEvent<LeaseChange>();
	/** This host no longer holds a lease. */
	readonly leaseLost = new TypedEvent<LeaseChange>();

	private readonly policy: LeasePolicy;
	private readonly timing: LeaseTiming;
	/** Monotonic time at which the last accepted claim or renewal of a lease was submitted. */
	private readonly confirmations = new Map<LeaseName, Confirmation>();
	private readonly announced = new Map<LeaseName, FencingToken>();
	private readonly claiming = new Set<LeaseName>();
	private readonly releasing = new Set<LeaseName>();
	private renewing = false;
	private stopping = false;
	private lastTickAt: number;
	/** Leases count only after the host folded the stream at a later time than this. */
	private readBackAfter = Number.NEGATIVE_INFINITY;
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
					this.announceChanges();
				}
			},
		);
	}

	/** The leases that this host may act on now, with their tokens. Read it right before acting. */
	get heldLeases(): ReadonlyMap<LeaseName, FencingToken> {
		const held = new Map<LeaseName, FencingToken>();
		for (const lease of this.options.follower.control.leases.values()) {
			if (
				lease.incarnation === this.options.incarnation &&
				!lease.released &&
				!this.releasing.has(lease.lease) &&
				this.mayAct(lease.lease, lease.token)
			) {
				held.set(lease.lease, lease.token);
			}
		}

		return held;
	}

	/**
	 * True while the last accepted renewal covers the present, by this host's clock.
	 * During a log outage a held lease can be unconfirmed: then only targets that honour fencing may get orders.
	 */
	isConfirmed(lease: LeaseName): boolean {
		const token = this.heldLeases.get(lease);
		return token !== undefined && this.isRenewed(lease, token);
	}

	/**
	 * Claims a held lease again and returns the newer token. Fails when the lease is not held, or when
	 * another record of the lease, such as a renewal of this host, came first; it can then be tried again.
	 */
	reclaim(
		lease: LeaseName,
		reason: string,
	): ResultAsync<FencingToken, LogError> {
		const {follower, host, incarnation, clock} = this.options;
		const current = follower.control.leases.get(lease);
		if (!current || !this.heldLeases.has(lease)) {
			return errAsync(new LeaseClaimError(`the lease ${lease} is not held`));
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
				this.announceChanges();
				return ok(token);
			});
	}

	/** Starts to tick. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.tick();
		}, this.options.tickIntervalMilliseconds ?? 500);
	}

	/** Decides and submits once. Resolves when all submitted records have an outcome. */
	async tick(): Promise<void> {
		this.noticePause();
		const {follower, clock} = this.options;
		if (this.stopping || follower.state === 'starting') {
			return;
		}

		this.announceChanges();
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

	/** Releases all leases, for a planned stop. Waits for the outcome of each release. */
	async releaseAll(): Promise<void> {
		this.stopping = true;
		const own = [...this.options.follower.control.leases.values()].filter(
			(lease) =>
				lease.incarnation === this.options.incarnation && !lease.released,
		);
		await Promise.all(own.map(async (lease) => this.release(lease)));
	}

	dispose(): void {
		this.stopping = true;
		clearInterval(this.timer);
		void this.subscription.dispose();
	}

	private mayAct(lease: LeaseName, token: FencingToken): boolean {
		const {follower, clock} = this.options;
		const now = clock.monotonic();
		if (this.isRenewed(lease, token)) {
			return true;
		}

		// Nobody can claim a lease during a log outage. The host still has to run without a pause
		// and to know what its peers folded, because the outage may concern this host alone.
		return (
			follower.state === 'outage' &&
			this.confirmations.get(lease)?.token === token &&
			now - this.lastTickAt <= this.pauseBound &&
			follower.lastCaughtUpAt > this.readBackAfter &&
			now - follower.lastCaughtUpAt <= this.timing.durationMilliseconds
		);
	}

	private isRenewed(lease: LeaseName, token: FencingToken): boolean {
		const confirmation = this.confirmations.get(lease);
		return (
			confirmation?.token === token &&
			this.options.clock.monotonic() - confirmation.at <
				this.timing.durationMilliseconds
		);
	}

	private get pauseBound(): number {
		return Math.max(
			this.timing.renewalIntervalMilliseconds,
			(this.options.tickIntervalMilliseconds ?? 500) * 4,
		);
	}

	private noticePause(): void {
		const now = this.options.clock.monotonic();
		if (now - this.lastTickAt > this.pauseBound) {
			this.readBackAfter = now;
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
			this.announceChanges();
		}
	}

	private async renew(leases: readonly HeldLease[]): Promise<void> {
		if (this.renewing || leases.length === 0) {
			return;
		}

		this.renewing = true;
		const {follower, incarnation, clock} = this.options;
		const submittedAt = clock.monotonic();
		const result = await follower.submit({
			kind: 'leases-renewed',
			incarnation,
			leases: [...leases],
		});
		this.renewing = false;
		if (result.isErr() || !result.value.accepted) {
			return;
		}

		for (const {lease, token} of leases) {
			if (follower.control.isCurrentToken(lease, token)) {
				this.confirmations.set(lease, {token, at: submittedAt});
			}
		}

		this.announceChanges();
	}

	private async release({lease, token}: HeldLease): Promise<void> {
		if (this.releasing.has(lease)) {
			return;
		}

		// The host stops acting on the lease before others can read that it is free.
		this.releasing.add(lease);
		this.confirmations.delete(lease);
		this.announceChanges();
		const {follower, clock} = this.options;
		await follower.submit({
			kind: 'lease-released',
			lease,
			token,
			time: clock.wall(),
		});
		this.releasing.delete(lease);
	}

	private announceChanges(): void {
		const {events, metrics} = this.options;
		const held = this.heldLeases;
		for (const [lease, token] of this.announced) {
			if (held.get(lease) === token) {
				continue;
			}

			this.announced.delete(lease);
			const reason = this.lossReason(lease, token);
			events.record(agreementEvents.leaseLost, {lease, token, reason});
			this.leaseLost.publish({lease, token, reason});
		}

		for (const [lease, token] of held) {
			if (this.announced.has(lease)) {
				continue;
			}

			this.announced.set(lease, token);
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
