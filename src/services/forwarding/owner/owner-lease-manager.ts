import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type RandomSource} from '../../../base/common/random-source.js';
import {wait} from '../../../base/node/wait.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type FencingToken} from '../../../contracts/ids.js';
import {
	type OwnerLog,
	type OwnerRecords,
} from '../../../contracts/shared-store.js';
import {type SuspicionReport} from '../../../contracts/suspicion-report.js';
import {type VersionReport} from '../../../contracts/version-report.js';
import {
	type LeaseStatus,
	type LeaseAppend,
	type LeaseHolder,
	type OwnerLease,
} from '../../../core/leases/owner-lease.js';

/** Options of the lease manager. */
export type OwnerLeaseManagerOptions = {
	readonly lease: OwnerLease;
	readonly log: OwnerLog;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	/** True when the holder has responded to this host recently. */
	readonly isHolderResponsive: () => boolean;
	/** True while this host should leave the lease to others, because it reaches no target that gets orders. */
	readonly mustAbstain: () => boolean;
	/** Quarantined fingerprints, which the records of the lease keep. */
	readonly quarantined: () => readonly SuspicionReport[];
	/** Called with the fingerprints that the last record of a holder names. */
	readonly onSuspicionsRead: (reports: readonly SuspicionReport[]) => void;
	/** The software versions that targets had, which the records of the lease keep. */
	readonly versionReport: () => VersionReport;
	/** Called with the software versions that the log tells. */
	readonly onVersionsRead: (report: VersionReport) => void;
	/** Time since the last order of this host, undefined when it has sent none. */
	readonly sinceLastOrder: () => number | undefined;
};

/** Interval at which the lease is checked. */
const checkIntervalMilliseconds = 100;
/** Interval at which a host checks the lease of another host that responds. */
const observerIntervalMilliseconds = 250;
/** Interval between reads of the log while the holder is unresponsive or the log cannot be read. */
const readIntervalMilliseconds = 350;
/** Quarantined fingerprints in a record, which is written again with each renewal. */
const maximumRecordedSuspicions = 32;
/** Time for which a host that reaches no target leaves a free or expired lease to others. A fleet whose hosts are all cut off needs an owner too, from which they receive the target list. */
const abstentionMilliseconds = 5000;
/** Time after which such an owner offers the lease to others again. */
const offerIntervalMilliseconds = 20_000;
/** Upper limit of a random delay at the start. Hosts that start together then claim at different times, so that the first claim usually decides. */
const startJitterMilliseconds = 250;

/** Manages the owner lease of this host: reads the lease log, acquires, renews and releases the lease. */
export class OwnerLeaseManager extends Disposable {
	private readonly abort = new AbortController();
	private wasHolder = false;
	private loggedOwner: string | undefined;
	private isReleasing = false;
	/** When this host claimed the lease although it should leave it to others. */
	private claimedForWantOfOthersAt: number | undefined;
	private hasReadLog = false;

	constructor(private readonly options: OwnerLeaseManagerOptions) {
		super();
	}

	/** The token with which this host may send orders now, undefined when it may not. */
	token(): FencingToken | undefined {
		return this.isReleasing
			? undefined
			: this.options.lease.orderToken(this.options.clock.monotonic());
	}

	/** True while this host holds the lease and has renewed it recently. */
	get isHolder(): boolean {
		return this.options.lease.isValid(this.options.clock.monotonic());
	}

	/** Lease status that this host reports to the others, undefined when it has none. */
	status(): LeaseStatus | undefined {
		const {lease, clock, sinceLastOrder} = this.options;
		return lease.status(clock.monotonic(), sinceLastOrder());
	}

	/** Applies the lease status that the holder reported. */
	applyHolderStatus(status: LeaseStatus): void {
		this.options.lease.applyHolderStatus(
			status,
			this.options.clock.monotonic(),
		);
	}

	/** The current holder according to the lease log. */
	get holder(): LeaseHolder | undefined {
		return this.options.lease.holder;
	}

	/** Acquires and renews the lease until disposed or released. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		await wait(this.options.random.integer(startJitterMilliseconds), signal);
		while (!signal.aborted && !this.isReleasing) {
			await wait(await this.step(), signal);
			this.logOwnershipChange();
		}
	}

	/** Releases the lease at a planned stop, so that another host can acquire it. */
	async release(): Promise<void> {
		this.isReleasing = true;
		this.abort.abort();
		const append = this.options.lease.createRelease(
			this.options.sinceLastOrder(),
			this.options.clock.monotonic(),
		);
		if (append) {
			await this.append(append);
		}
	}

	dispose(): void {
		this.abort.abort();
	}

	/** Records that a target refused the token of the lease, because a newer holder exists. */
	markSuperseded(): void {
		this.options.lease.markSuperseded();
	}

	private async step(): Promise<number> {
		const {lease, log, clock, isHolderResponsive} = this.options;
		const stepDown = this.stepDown();
		if (stepDown) {
			await this.append(stepDown);
			return checkIntervalMilliseconds;
		}

		const step = lease.nextStep(
			clock.monotonic(),
			this.hasReadLog && isHolderResponsive(),
			this.additionalDelay(),
		);
		if (step.kind === 'wait') {
			return lease.isHolder
				? checkIntervalMilliseconds
				: observerIntervalMilliseconds;
		}

		if (step.kind === 'append') {
			await this.append(step.append);
			return checkIntervalMilliseconds;
		}

		const read = await log.read(lease.readPosition);
		if (read.isErr()) {
			return readIntervalMilliseconds;
		}

		this.hasReadLog = true;
		lease.applyRecords(read.value, clock.monotonic());
		this.options.onSuspicionsRead(read.value.records.at(-1)?.suspicions ?? []);
		this.options.onVersionsRead(versionsOf(read.value));
		// A lease that is new or was released is claimed as soon as this host may.
		const isClaimable =
			lease.isHolder ||
			lease.nextStep(clock.monotonic(), false, this.additionalDelay()).kind ===
				'append';
		return isClaimable ? 0 : readIntervalMilliseconds;
	}

	/** Gives up the lease while this host should leave it to others, unless no other host wanted it. */
	private stepDown(): LeaseAppend | undefined {
		const {lease, clock, mustAbstain, sinceLastOrder} = this.options;
		if (!mustAbstain()) {
			this.claimedForWantOfOthersAt = undefined;
			return undefined;
		}

		const now = clock.monotonic();
		return !lease.isHolder ||
			(this.claimedForWantOfOthersAt !== undefined &&
				now - this.claimedForWantOfOthersAt < offerIntervalMilliseconds)
			? undefined
			: lease.stepDown(sinceLastOrder(), now);
	}

	private additionalDelay(): number {
		return this.options.mustAbstain() ? abstentionMilliseconds : 0;
	}

	private async append(append: LeaseAppend): Promise<void> {
		const {lease, log, clock} = this.options;
		const sentAt = clock.monotonic();
		const suspicions = this.options
			.quarantined()
			.slice(-maximumRecordedSuspicions);
		const outcome = await log.append(
			{
				...append.record,
				...(suspicions.length === 0 ? {} : {suspicions}),
				versionReport: this.options.versionReport(),
			},
			append.expectedEnd,
		);
		if (outcome.isErr()) {
			lease.handleAppendFailure();
			return;
		}

		lease.applyAppendOutcome(append, outcome.value, sentAt, clock.monotonic());
		if (outcome.value.kind === 'conflict') {
			return;
		}

		if (append.record.kind === 'claimed' && this.options.mustAbstain()) {
			this.claimedForWantOfOthersAt = clock.monotonic();
		} else if (append.record.kind === 'released' && !this.isReleasing) {
			this.options.events.record(forwardingEvents.ownershipGivenUp);
		}
	}

	private logOwnershipChange(): void {
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
		if (owner !== this.loggedOwner) {
			this.loggedOwner = owner;
			if (holder && !lease.isHolder) {
				events.record(forwardingEvents.ownerChanged, {
					host: holder.host,
					token: holder.token,
				});
			}
		}
	}
}

/** Returns what records of the lease tell of software versions. A log that was never written to tells that no host has run before. */
function versionsOf({records, isWhole}: OwnerRecords): VersionReport {
	const last = records.at(-1);
	if (!last) {
		return {
			versions: [],
			reachMilliseconds: isWhole ? Number.POSITIVE_INFINITY : 0,
		};
	}

	// Holders of older builds tell nothing, so what an earlier record tells has a gap behind it.
	return (
		last.versionReport ?? {
			versions:
				records.findLast(({versionReport}) => versionReport)?.versionReport
					?.versions ?? [],
			reachMilliseconds: 0,
		}
	);
}
