import {err, ok, type Result, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {
	claimsCarriedSchema,
	keyClaimedSchema,
	type ClaimRecord,
	type RecordedOutcome,
} from '../../contracts/claim-record.js';
import {entryEvents} from '../../contracts/events/entry-events.js';
import {
	type CallerId,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type LogOffset,
	type RequestId,
} from '../../contracts/ids.js';
import {
	LogTruncatedError,
	type LogError,
	type LogService,
	type StoredRecord,
} from '../../contracts/log-service.js';
import {ClaimIndex, type ClaimEntry} from '../../core/claims/claim-index.js';
import {RecordTimeIndex} from '../../core/claims/record-time-index.js';
import {creationTimeOf} from '../../core/claims/time-ordered-key.js';

/** The request of a caller for a call that may run at most once. */
export type ClaimRequest = {
	readonly caller: CallerId;
	readonly key: IdempotencyKey;
	readonly bodyDigest: string;
	readonly requestId: RequestId;
};

/** Decision on a request according to the claims in the log. */
export type ClaimDecision =
	/** Only this host may dispatch the call, and only once. */
	| {readonly kind: 'granted'}
	/** The call has run; `outcome` holds its response. */
	| {readonly kind: 'settled'; readonly outcome: RecordedOutcome}
	/** The key was used with another body. */
	| {readonly kind: 'conflict'}
	/** An earlier call with the key is running. */
	| {readonly kind: 'running'}
	/** An earlier call with the key may or may not have run. */
	| {readonly kind: 'unknown'}
	/** The key was created before the idempotency window began, so an earlier claim of it may have expired. */
	| {readonly kind: 'expired'};

/** Result of carrying claims forward. */
export type CarryForwardResult = {
	/** Number of entries appended and read back. */
	readonly carriedCount: number;
	/** True if no entry below the offset remains. */
	readonly isComplete: boolean;
};

/** A claim could not be decided. The call was not dispatched and never will be. */
export class ClaimError extends Error {
	override readonly name = 'ClaimError';
}

/** Appends records to the stream `claims`. An append whose response is lost is repeated with the same record ID. */
export abstract class ClaimAppender {
	abstract append(record: ClaimRecord): ResultAsync<void, LogError>;
}

/** Determines whether an incarnation of a host is live. */
export abstract class IncarnationDirectory {
	/** `claimedAt` is the wall time of the claim in milliseconds. It decides for an incarnation that is not a member yet. */
	abstract isLive(incarnation: IncarnationId, claimedAt: number): boolean;
}

/** Collaborators and limits of the claim manager. */
export type ClaimManagerOptions = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly log: LogService;
	readonly appender: ClaimAppender;
	readonly incarnations: IncarnationDirectory;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Returns how long the claim of a key is retained. */
	readonly idempotencyWindowMilliseconds: () => number;
	/** Time within which the log must confirm a claim. */
	readonly claimTimeoutMilliseconds: number;
	/** How long a repeated call waits for the outcome of the first one. */
	readonly settlementTimeoutMilliseconds: number;
};

const timedRecordSchema = z.union([
	keyClaimedSchema.pick({time: true, kind: true}),
	claimsCarriedSchema.pick({time: true, kind: true}),
]);

type Waiter = {
	readonly isDone: () => boolean;
	readonly resolve: () => void;
};

const readBatchSize = 1000;
const longPollMilliseconds = 10_000;
const retryMilliseconds = 250;
const carryForwardBatchSize = 200;
const expiryIntervalMilliseconds = 60_000;
const timeResolutionMilliseconds = 1000;
// Attempts to claim a key whose earlier claims were released meanwhile. After them the caller is asked to retry later.
const maximumClaimAttempts = 3;

/** Maintains the index of claims on one host: follows the stream `claims`, claims keys and records outcomes. */
export class ClaimManager extends Disposable {
	private index = new ClaimIndex();
	private readonly waiters = new Set<Waiter>();
	/** Requests that were refused although their claim may be in the log or appear in it later. */
	private readonly abandoned = new Map<
		RequestId,
		{readonly request: ClaimRequest; readonly expiresAt: number}
	>();

	/** Outcomes of calls of this host that have not been read back from the log yet. */
	private readonly localOutcomes = new Map<
		RequestId,
		{readonly request: ClaimRequest; readonly outcome: RecordedOutcome}
	>();

	private readonly claimsInFlight = new Set<RequestId>();
	private readonly claimsReadBack = new Set<RequestId>();
	private readonly stopping = new AbortController();
	/**
	 * Number of times that reading of the stream began from its earliest record. It changes when records may have been
	 * missed, and is 0 until the first batch was read.
	 */
	private readGeneration = 0;
	private lastExpiryAt = 0;
	private recordTimes = new RecordTimeIndex(timeResolutionMilliseconds);
	/** False while the index may lack records that the log retains. */
	private isCaughtUp = false;

	constructor(private readonly options: ClaimManagerOptions) {
		super();
	}

	/** True once this host has begun to read the stream and can decide claims. */
	get isReady(): boolean {
		return this.readGeneration > 0;
	}

	/** Number of keys in the index. */
	get size(): number {
		return this.index.size;
	}

	/** Starts to read the stream. */
	start(): void {
		void this.followStream();
	}

	dispose(): void {
		this.stopping.abort();
		for (const waiter of this.waiters) {
			waiter.resolve();
		}
	}

	/**
	 * Decides whether a call may run. A grant permits one dispatch by this host. Returns an error if the log does not
	 * confirm the claim in time; the call must not be dispatched then.
	 */
	async claim(
		request: ClaimRequest,
	): Promise<Result<ClaimDecision, ClaimError>> {
		for (let attempt = 0; attempt < maximumClaimAttempts; attempt += 1) {
			const decided = await this.claimUnlessReleased(request);
			if (decided.isErr()) {
				return err(decided.error);
			}

			if (decided.value) {
				return ok(decided.value);
			}
		}

		return ok({kind: 'running'});
	}

	/** Releases a granted claim. Permitted only for a call of which no byte was sent. */
	async release(request: ClaimRequest): Promise<void> {
		const released = await this.options.appender.append({
			kind: 'key-released',
			caller: request.caller,
			key: request.key,
			requestId: request.requestId,
			incarnation: this.options.incarnation,
		});
		if (released.isErr()) {
			this.recordAbandoned(request);
			void this.retryRelease();
		}
	}

	/** Records the outcome of a dispatched call, or null if it will stay unknown. Repeats until the log accepts the record. */
	async settle(
		request: ClaimRequest,
		outcome: RecordedOutcome | null,
	): Promise<void> {
		if (outcome) {
			this.localOutcomes.set(request.requestId, {request, outcome});
			this.wakeWaiters();
		}

		let hasLoggedFailure = false;
		while (!this.stopping.signal.aborted) {
			const settled = await this.options.appender.append({
				kind: 'key-settled',
				caller: request.caller,
				key: request.key,
				requestId: request.requestId,
				incarnation: this.options.incarnation,
				outcome,
			});
			if (settled.isOk()) {
				return;
			}

			if (!hasLoggedFailure) {
				hasLoggedFailure = true;
				this.options.events.record(entryEvents.claimUnsettled, {
					requestId: request.requestId,
					error: settled.error.message,
				});
			}

			await this.pause(retryMilliseconds);
		}
	}

	/** Returns an offset such that every record older than a wall time in milliseconds lies before it. */
	offsetAt(wallTime: number): LogOffset {
		return this.recordTimes.offsetAt(wallTime, this.index.nextOffset);
	}

	/**
	 * Appends the entries below an offset again, so that they outlive the retention of the log. Stops early if
	 * `mayContinue` returns false, an append fails or an appended entry is not read back in time.
	 */
	async carryForward(
		below: LogOffset,
		mayContinue: () => boolean = () => true,
	): Promise<CarryForwardResult> {
		this.index.removeExpired(this.options.clock.wall());
		let carriedCount = 0;
		while (this.isCaughtUp && mayContinue()) {
			const entries = this.index.entriesBefore(below, carryForwardBatchSize);
			if (entries.length === 0) {
				return {carriedCount, isComplete: true};
			}

			const appended = await this.options.appender.append({
				kind: 'claims-carried',
				time: this.options.clock.wall(),
				asOf: this.index.nextOffset,
				entries: entries.map(({offset, ...entry}) => entry),
			});
			if (appended.isErr()) {
				return {carriedCount, isComplete: false};
			}

			// The index replaces the entry of a key with each change, so an identical object means that nothing changed.
			const isReadBack = () =>
				entries.every(
					(entry) => this.index.getEntry(entry.caller, entry.key) !== entry,
				);
			await this.wait(isReadBack, this.options.claimTimeoutMilliseconds);
			if (!isReadBack()) {
				return {carriedCount, isComplete: false};
			}

			carriedCount += entries.length;
		}

		return {carriedCount, isComplete: false};
	}

	/** Makes one attempt to claim a key. Returns undefined if an earlier claim held the key and was then released. */
	private async claimUnlessReleased(
		request: ClaimRequest,
	): Promise<Result<ClaimDecision | undefined, ClaimError>> {
		const wall = this.options.clock.wall();
		const existing = this.index.getEntry(request.caller, request.key);
		if (existing && existing.expiresAt >= wall) {
			return ok(await this.decideByEntry(existing, request));
		}

		const created = creationTimeOf(request.key);
		if (
			created !== undefined &&
			created < wall - this.options.idempotencyWindowMilliseconds()
		) {
			return ok({kind: 'expired'});
		}

		const {readGeneration} = this;
		if (readGeneration === 0) {
			return err(
				new ClaimError('the log stream of claims has not been read yet'),
			);
		}

		this.claimsInFlight.add(request.requestId);
		const decision = await this.appendClaim(request, readGeneration);
		this.claimsInFlight.delete(request.requestId);
		this.claimsReadBack.delete(request.requestId);
		return decision;
	}

	private async appendClaim(
		request: ClaimRequest,
		readGeneration: number,
	): Promise<Result<ClaimDecision | undefined, ClaimError>> {
		const time = this.options.clock.wall();
		const deadline =
			this.options.clock.monotonic() + this.options.claimTimeoutMilliseconds;
		const appended = await this.options.appender.append({
			kind: 'key-claimed',
			...request,
			host: this.options.host,
			incarnation: this.options.incarnation,
			time,
			expiresAt: time + this.options.idempotencyWindowMilliseconds(),
		});
		if (appended.isErr()) {
			this.abandonClaim(request);
			return err(
				new ClaimError('the log did not confirm the claim', {
					cause: appended.error,
				}),
			);
		}

		await this.wait(
			() => this.claimsReadBack.has(request.requestId),
			deadline - this.options.clock.monotonic(),
		);
		const isReadBack = this.claimsReadBack.delete(request.requestId);
		const entry = this.index.getEntry(request.caller, request.key);
		// Reading that was interrupted may have missed an earlier claim of the key, so only reading without a gap decides.
		if (!isReadBack || !entry || this.readGeneration !== readGeneration) {
			this.abandonClaim(request);
			return err(
				new ClaimError('the claim was not read back without a gap in time'),
			);
		}

		if (entry.requestId === request.requestId) {
			return ok({kind: 'granted'});
		}

		return ok(await this.decideByEntry(entry, request));
	}

	private async decideByEntry(
		entry: ClaimEntry,
		request: ClaimRequest,
	): Promise<ClaimDecision | undefined> {
		if (entry.bodyDigest !== request.bodyDigest) {
			return {kind: 'conflict'};
		}

		await this.wait(
			() => !this.isRunning(entry),
			this.options.settlementTimeoutMilliseconds,
		);
		const outcome = this.outcomeOf(entry);
		if (outcome) {
			return {kind: 'settled', outcome};
		}

		const current = this.index.getEntry(entry.caller, entry.key);
		if (current?.requestId !== entry.requestId) {
			return undefined;
		}

		return this.isRunning(entry) ? {kind: 'running'} : {kind: 'unknown'};
	}

	private outcomeOf(entry: ClaimEntry): RecordedOutcome | null {
		const current = this.index.getEntry(entry.caller, entry.key);
		return (
			this.localOutcomes.get(entry.requestId)?.outcome ??
			(current?.requestId === entry.requestId ? current.outcome : null)
		);
	}

	private isRunning(entry: ClaimEntry): boolean {
		const current = this.index.getEntry(entry.caller, entry.key);
		return (
			current?.requestId === entry.requestId &&
			current.state === 'claimed' &&
			!this.localOutcomes.has(entry.requestId) &&
			this.options.incarnations.isLive(entry.incarnation, entry.time)
		);
	}

	private abandonClaim(request: ClaimRequest): void {
		this.recordAbandoned(request);
		void this.releaseAbandoned();
	}

	private recordAbandoned(request: ClaimRequest): void {
		this.options.events.record(entryEvents.claimAbandoned, {
			requestId: request.requestId,
		});
		const {clock, idempotencyWindowMilliseconds} = this.options;
		const expiresAt = clock.wall() + idempotencyWindowMilliseconds();
		this.abandoned.set(request.requestId, {request, expiresAt});
	}

	/** Releases the claims of refused requests that have appeared in the log. */
	private async releaseAbandoned(): Promise<void> {
		// A release that fails adds its request to the map again, so the loop runs over a copy.
		const found = [...this.abandoned.values()].filter(
			({request}) =>
				this.index.getEntry(request.caller, request.key)?.requestId ===
				request.requestId,
		);
		for (const {request} of found) {
			this.abandoned.delete(request.requestId);
		}

		await Promise.all(found.map(async ({request}) => this.release(request)));
	}

	private async retryRelease(): Promise<void> {
		await this.pause(retryMilliseconds);
		if (!this.stopping.signal.aborted) {
			await this.releaseAbandoned();
		}
	}

	private async followStream(): Promise<void> {
		while (!this.stopping.signal.aborted) {
			const bounds = await this.options.log.readBounds('claims');
			if (bounds.isErr()) {
				this.options.events.record(entryEvents.claimsUnreadable, {
					error: bounds.error.message,
				});
				await this.pause(retryMilliseconds);
				continue;
			}

			this.index = new ClaimIndex();
			this.recordTimes = new RecordTimeIndex(timeResolutionMilliseconds);
			this.isCaughtUp = false;
			await this.readStream(bounds.value.earliest);
		}
	}

	/** Reads without a gap until the log has truncated records that were not read. */
	private async readStream(earliest: LogOffset): Promise<void> {
		let from = earliest;
		let hasReadBatch = false;
		while (!this.stopping.signal.aborted) {
			const batch = await this.options.log.read(
				'claims',
				from,
				{
					limit: readBatchSize,
					waitMilliseconds: hasReadBatch ? longPollMilliseconds : 0,
				},
				this.stopping.signal,
			);
			if (batch.isErr()) {
				if (batch.error instanceof LogTruncatedError) {
					return;
				}

				await this.pause(retryMilliseconds);
				continue;
			}

			for (const record of batch.value.records) {
				this.index.apply(record);
				this.trackReadBack(record.body);
				this.trackRecordTime(record);
			}

			this.isCaughtUp ||= batch.value.records.length < readBatchSize;

			from = batch.value.next;
			if (!hasReadBatch) {
				hasReadBatch = true;
				this.readGeneration += 1;
			}

			this.onBatchApplied();
		}
	}

	private trackReadBack(body: unknown): void {
		if (this.claimsInFlight.size === 0) {
			return;
		}

		const claim = keyClaimedSchema.safeParse(body);
		if (claim.success && this.claimsInFlight.has(claim.data.requestId)) {
			this.claimsReadBack.add(claim.data.requestId);
		}
	}

	private trackRecordTime({offset, body}: StoredRecord): void {
		const timed = timedRecordSchema.safeParse(body);
		if (timed.success) {
			// A record from a host whose clock is ahead must not appear newer than the present.
			const time = Math.min(timed.data.time, this.options.clock.wall());
			this.recordTimes.add(offset, time);
		}
	}

	private onBatchApplied(): void {
		for (const [requestId, {request}] of this.localOutcomes) {
			const entry = this.index.getEntry(request.caller, request.key);
			if (entry?.requestId === requestId && entry.state === 'settled') {
				this.localOutcomes.delete(requestId);
			}
		}

		this.wakeWaiters();
		if (this.abandoned.size > 0) {
			void this.releaseAbandoned();
		}

		const wall = this.options.clock.wall();
		if (wall - this.lastExpiryAt > expiryIntervalMilliseconds) {
			this.lastExpiryAt = wall;
			this.index.removeExpired(wall);
			for (const [requestId, {expiresAt}] of this.abandoned) {
				if (expiresAt < wall) {
					this.abandoned.delete(requestId);
				}
			}
		}
	}

	private wakeWaiters(): void {
		for (const waiter of this.waiters) {
			if (waiter.isDone()) {
				waiter.resolve();
			}
		}
	}

	private async wait(
		isDone: () => boolean,
		milliseconds: number,
	): Promise<void> {
		if (isDone() || this.stopping.signal.aborted) {
			return;
		}

		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				this.waiters.delete(waiter);
				resolve();
			};

			const waiter: Waiter = {isDone, resolve: finish};
			const timer = setTimeout(finish, Math.max(0, milliseconds));
			this.waiters.add(waiter);
		});
	}

	private async pause(milliseconds: number): Promise<void> {
		await this.wait(() => false, milliseconds);
	}
}
