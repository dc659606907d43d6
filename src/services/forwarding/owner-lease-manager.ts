import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {wait} from '../../base/node/wait.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {type FencingToken} from '../../contracts/ids.js';
import {type OwnerLog} from '../../contracts/shared-store.js';
import {
	type LeaseStatus,
	type LeaseAppend,
	type LeaseHolder,
	type OwnerLease,
} from '../../core/owner-lease.js';

/** Options of the keeper. */
export type OwnerLeaseManagerOptions = {
	readonly lease: OwnerLease;
	readonly log: OwnerLog;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	/** True when the holder has just answered this host. */
	readonly isHolderResponsive: () => boolean;
	/** Time since the last order of this host, undefined when it gave none. */
	readonly sinceLastOrder: () => number | undefined;
};

/** Pause between two looks at the lease. */
const stepMilliseconds = 100;
/** Pause between two reads of the log while another host is silent. */
const readPauseMilliseconds = 350;
/** Hosts that start at once claim at different times, so that one call decides more often. */
const startSpreadMilliseconds = 250;

/** Keeps the owner lease: reads its log, claims and renews it. */
export class OwnerLeaseManager extends Disposable {
	private readonly abort = new AbortController();
	private wasHolder = false;
	private knownOwner: string | undefined;
	private isReleasing = false;
	private hasJoined = false;

	constructor(private readonly options: OwnerLeaseManagerOptions) {
		super();
	}

	/** The token under which this host may give orders now. */
	token(): FencingToken | undefined {
		return this.isReleasing
			? undefined
			: this.options.lease.orderToken(this.options.clock.monotonic());
	}

	/** True while this host holds the lease and has renewed it lately. */
	get isHolder(): boolean {
		return this.options.lease.isValid(this.options.clock.monotonic());
	}

	/** What this host tells the others of its lease. */
	status(): LeaseStatus | undefined {
		const {lease, clock, sinceLastOrder} = this.options;
		return lease.status(clock.monotonic(), sinceLastOrder());
	}

	/** Takes in what the holder said of its lease. */
	applyHolderStatus(heard: LeaseStatus): void {
		this.options.lease.applyHolderStatus(heard, this.options.clock.monotonic());
	}

	get holder(): LeaseHolder | undefined {
		return this.options.lease.holder;
	}

	/** Keeps the lease until disposed or released. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		await wait(this.options.random.integer(startSpreadMilliseconds), signal);
		while (!signal.aborted && !this.isReleasing) {
			await wait(await this.step(), signal);
			this.announce();
		}
	}

	/** Hands the lease over at a planned stop. */
	async release(): Promise<void> {
		this.isReleasing = true;
		this.abort.abort();
		const append = this.options.lease.createRelease(
			this.options.sinceLastOrder(),
		);
		if (append) {
			await this.append(append);
		}
	}

	dispose(): void {
		this.abort.abort();
	}

	/** Gives the lease up after a target refused its token. */
	markSuperseded(): void {
		this.options.lease.markSuperseded();
	}

	private async step(): Promise<number> {
		const {lease, log, clock, isHolderResponsive: isHolderHeard} = this.options;
		const step = lease.nextStep(
			clock.monotonic(),
			this.hasJoined && isHolderHeard(),
		);
		if (step.kind === 'wait') {
			return stepMilliseconds;
		}

		if (step.kind === 'append') {
			await this.append(step.append);
			return stepMilliseconds;
		}

		const read = await log.read(lease.readPosition);
		if (read.isErr()) {
			return readPauseMilliseconds;
		}

		this.hasJoined = true;
		lease.applyRecords(read.value, clock.monotonic());
		// An empty or released lease is claimed at once.
		return lease.holder && !lease.isHolder ? readPauseMilliseconds : 0;
	}

	private async append(append: LeaseAppend): Promise<void> {
		const {lease, log, clock} = this.options;
		const sentAt = clock.monotonic();
		const outcome = await log.append(append.record, append.expectedEnd);
		if (outcome.isErr()) {
			lease.handleAppendFailure();
			return;
		}

		lease.applyAppendOutcome(append, outcome.value, sentAt, clock.monotonic());
	}

	private announce(): void {
		const {lease, events} = this.options;
		const {holder} = lease;
		if (lease.isHolder !== this.wasHolder) {
			this.wasHolder = lease.isHolder;
			events.record(
				lease.isHolder
					? forwardingEvents.ownershipGained
					: forwardingEvents.ownershipLost,
				{token: holder?.token},
			);
		}

		const owner = holder && `${holder.host}/${holder.incarnation}`;
		if (owner !== this.knownOwner) {
			this.knownOwner = owner;
			if (holder && !lease.isHolder) {
				events.record(forwardingEvents.ownerChanged, {
					host: holder.host,
					token: holder.token,
				});
			}
		}
	}
}
