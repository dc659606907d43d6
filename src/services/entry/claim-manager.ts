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
import {ClaimIndex, type ClaimEntry} from '../../core/claim-index.js';
import {RecordTimeIndex} from '../../core/record-time-index.js';
import {creationTimeOf} from '../../core/time-ordered-key.js';

/** A caller's wish to run a call that may run at most once. */
export type ClaimRequest = {
	readonly caller: CallerId;
	readonly key: IdempotencyKey;
	readonly bodyDigest: string;
	readonly requestId: RequestId;
};

/** What the claims in the log say of a request. */
export type ClaimDecision =
	/** This host alone may dispatch the call, once. */
	| {readonly kind: 'granted'}
	/** The call ran before; this is its answer. */
	| {readonly kind: 'settled'; readonly outcome: RecordedOutcome}
	/** The key was used with another body. */
	| {readonly kind: 'conflict'}
	/** Another try of the key is running. */
	| {readonly kind: 'running'}
	/** An earlier try may or may not have run. */
	| {readonly kind: 'unknown'}
	/** The key was made before the window began, so a claim of it may be forgotten. */
	| {readonly kind: 'expired'};

/** How far claims were carried forward. */
export type CarryForwardResult = {
	readonly carriedCount: number;
	/** True when no entry below the offset is left. */
	readonly isComplete: boolean;
};

/** Why a claim was not decided. The call was not dispatched and never will be. */
export class ClaimError extends Error {
	override readonly name = 'ClaimError';
}

/** Appends records to the stream `claims`, repeating lost answers with the same record id. */
export abstract class ClaimAppender {
	abstract append(record: ClaimRecord): ResultAsync<void, LogError>;
}

/** Tells whether a run of a host still goes on. */
export abstract class IncarnationDirectory {
	/** `claimedAt` is the wall time of the claim, for a run that the membership has not heard of yet. */
	abstract isLive(incarnation: IncarnationId, claimedAt: number): boolean;
}

/** Collaborators and bounds of the claim keeper. */
export type ClaimManagerOptions = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly log: LogService;
	readonly appender: ClaimAppender;
	readonly incarnations: IncarnationDirectory;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** How long a key is remembered. */
	readonly idempotencyWindowMilliseconds: () => number;
	/** Time for the log to confirm a claim. */
	readonly claimTimeoutMilliseconds: number;
	/** Time that a second try waits for the outcome of the first. */
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

const readLimit = 1000;
const pollMilliseconds = 10_000;
const retryMilliseconds = 250;
const carryBatch = 200;
const forgetIntervalMilliseconds = 60_000;
const ageResolutionMilliseconds = 1000;
// Tries that find the key claimed and then released. A caller that loses more often is asked to come back.
const maximumClaims = 3;

/** Owns the index of claims on one host: follows the stream, claims keys and records outcomes. */
export class ClaimManager extends Disposable {
	private index = new ClaimIndex();
	private readonly waiters = new Set<Waiter>();
	/** Requests that were refused although their claim may be in the log, or turn up in it later. */
	private readonly abandoned = new Map<
		RequestId,
		{readonly request: ClaimRequest; readonly expiresAt: number}
	>();

	/** Outcomes known here whose record the log has not confirmed yet. */
	private readonly localOutcomes = new Map<
		RequestId,
		{readonly request: ClaimRequest; readonly outcome: RecordedOutcome}
	>();

	private readonly claimsInFlight = new Set<RequestId>();
	private readonly claimsReadBack = new Set<RequestId>();
	private readonly stopping = new AbortController();
	/** Counts unbroken readings of the stream. Zero until the first one began. */
	private reading = 0;
	private lastForgotten = 0;
	private ages = new RecordTimeIndex(ageResolutionMilliseconds);
	/** False while the index may lack records that the log still keeps. */
	private isCaughtUp = false;

	constructor(private readonly options: ClaimManagerOptions) {
		super();
	}

	/** True once the host reads the stream and can decide claims. */
	get isReady(): boolean {
		return this.reading > 0;
	}

	/** Number of keys remembered. */
	get size(): number {
		return this.index.size;
	}

	/** Starts to follow the stream. */
	start(): void {
		void this.follow();
	}

	dispose(): void {
		this.stopping.abort();
		for (const waiter of this.waiters) {
			waiter.resolve();
		}
	}

	/** Decides whether a call may run. The grant is for this host alone, and for one dispatch. */
	async claim(
		request: ClaimRequest,
	): Promise<Result<ClaimDecision, ClaimError>> {
		for (let attempt = 0; attempt < maximumClaims; attempt += 1) {
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

	/** Gives a granted claim back. Only for a call of which no byte was sent. */
	async release(request: ClaimRequest): Promise<void> {
		const released = await this.options.appender.append({
			kind: 'key-released',
			caller: request.caller,
			key: request.key,
			requestId: request.requestId,
			incarnation: this.options.incarnation,
		});
		if (released.isErr()) {
			this.noteAbandoned(request);
			void this.releaseLater();
		}
	}

	/** Records the outcome of a dispatched call, or null when it is unknown for good. Repeats until the log takes it. */
	async settle(
		request: ClaimRequest,
		outcome: RecordedOutcome | null,
	): Promise<void> {
		if (outcome) {
			this.localOutcomes.set(request.requestId, {request, outcome});
			this.wakeWaiters();
		}

		let isReported = false;
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

			if (!isReported) {
				isReported = true;
				this.options.events.record(entryEvents.claimUnsettled, {
					requestId: request.requestId,
					error: settled.error.message,
				});
			}

			await this.pause(retryMilliseconds);
		}
	}

	/** Returns an offset such that every record older than a wall time lies before it. */
	offsetAt(wallTime: number): LogOffset {
		return this.ages.offsetAt(wallTime, this.index.nextOffset);
	}

	/** Appends the entries below an offset anew, so that they outlive the log's retention. */
	async carryForward(
		below: LogOffset,
		mayContinue: () => boolean = () => true,
	): Promise<CarryForwardResult> {
		this.index.removeExpired(this.options.clock.wall());
		let carried = 0;
		while (this.isCaughtUp && mayContinue()) {
			const entries = this.index.entriesBefore(below, carryBatch);
			if (entries.length === 0) {
				return {carriedCount: carried, isComplete: true};
			}

			const appended = await this.options.appender.append({
				kind: 'claims-carried',
				time: this.options.clock.wall(),
				asOf: this.index.nextOffset,
				entries: entries.map(({offset, ...entry}) => entry),
			});
			if (appended.isErr()) {
				return {carriedCount: carried, isComplete: false};
			}

			// The fold replaces the entry of a key with every change, so the same object means no change.
			const isReadBack = () =>
				entries.every(
					(entry) => this.index.getEntry(entry.caller, entry.key) !== entry,
				);
			await this.wait(isReadBack, this.options.claimTimeoutMilliseconds);
			if (!isReadBack()) {
				return {carriedCount: carried, isComplete: false};
			}

			carried += entries.length;
		}

		return {carriedCount: carried, isComplete: false};
	}

	/** Decides once. Undefined when an earlier claim held the key and was then released. */
	private async claimUnlessReleased(
		request: ClaimRequest,
	): Promise<Result<ClaimDecision | undefined, ClaimError>> {
		const wall = this.options.clock.wall();
		const known = this.index.getEntry(request.caller, request.key);
		if (known && known.expiresAt >= wall) {
			return ok(await this.judge(known, request));
		}

		const created = creationTimeOf(request.key);
		if (
			created !== undefined &&
			created < wall - this.options.idempotencyWindowMilliseconds()
		) {
			return ok({kind: 'expired'});
		}

		const {reading} = this;
		if (reading === 0) {
			return err(new ClaimError('the stream of claims is not readable yet'));
		}

		this.claimsInFlight.add(request.requestId);
		const decision = await this.claimAnew(request, reading);
		this.claimsInFlight.delete(request.requestId);
		this.claimsReadBack.delete(request.requestId);
		return decision;
	}

	private async claimAnew(
		request: ClaimRequest,
		reading: number,
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
			this.abandon(request);
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
		// A gap in the reading can hide an earlier claim of the key, so only an unbroken reading decides.
		if (!isReadBack || !entry || this.reading !== reading) {
			this.abandon(request);
			return err(new ClaimError('the claim could not be read back in time'));
		}

		if (entry.requestId === request.requestId) {
			return ok({kind: 'granted'});
		}

		return ok(await this.judge(entry, request));
	}

	private async judge(
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

	private abandon(request: ClaimRequest): void {
		this.noteAbandoned(request);
		void this.releaseAbandoned();
	}

	private noteAbandoned(request: ClaimRequest): void {
		this.options.events.record(entryEvents.claimAbandoned, {
			requestId: request.requestId,
		});
		const {clock, idempotencyWindowMilliseconds: windowMilliseconds} =
			this.options;
		const expiresAt = clock.wall() + windowMilliseconds();
		this.abandoned.set(request.requestId, {request, expiresAt});
	}

	/** Releases claims that were refused to their callers and turned up in the log later. */
	private async releaseAbandoned(): Promise<void> {
		// A release that fails adds its request again, so the loop runs over a list of its own.
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

	private async releaseLater(): Promise<void> {
		await this.pause(retryMilliseconds);
		if (!this.stopping.signal.aborted) {
			await this.releaseAbandoned();
		}
	}

	private async follow(): Promise<void> {
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
			this.ages = new RecordTimeIndex(ageResolutionMilliseconds);
			this.isCaughtUp = false;
			await this.readFrom(bounds.value.earliest);
		}
	}

	/** Reads without a gap until the log drops records that were not read. */
	private async readFrom(earliest: LogOffset): Promise<void> {
		let from = earliest;
		let isBegun = false;
		while (!this.stopping.signal.aborted) {
			const batch = await this.options.log.read(
				'claims',
				from,
				{limit: readLimit, waitMilliseconds: isBegun ? pollMilliseconds : 0},
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
				this.noteReadBack(record.body);
				this.noteAge(record);
			}

			this.isCaughtUp ||= batch.value.records.length < readLimit;

			from = batch.value.next;
			if (!isBegun) {
				isBegun = true;
				this.reading += 1;
			}

			this.afterBatch();
		}
	}

	private noteReadBack(body: unknown): void {
		if (this.claimsInFlight.size === 0) {
			return;
		}

		const claim = keyClaimedSchema.safeParse(body);
		if (claim.success && this.claimsInFlight.has(claim.data.requestId)) {
			this.claimsReadBack.add(claim.data.requestId);
		}
	}

	private noteAge({offset, body}: StoredRecord): void {
		const timed = timedRecordSchema.safeParse(body);
		if (timed.success) {
			// A record from a host whose clock is ahead must not look newer than it can be.
			const time = Math.min(timed.data.time, this.options.clock.wall());
			this.ages.add(offset, time);
		}
	}

	private afterBatch(): void {
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
		if (wall - this.lastForgotten > forgetIntervalMilliseconds) {
			this.lastForgotten = wall;
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
