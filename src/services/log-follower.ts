import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {
	backoffMilliseconds,
	type BackoffOptions,
} from '../base/common/backoff.js';
import {type Disposable} from '../base/common/disposable.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {wait} from '../base/node/wait.js';
import {ControlLog, type ApplyOutcome} from '../contracts/control-log.js';
import {type ControlRecord} from '../contracts/control-record.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {type LogOffset, type RecordId} from '../contracts/ids.js';
import {
	LogTruncatedError,
	LogUnavailableError,
	type LogBatch,
	type LogError,
	type LogService,
	type StoredRecord,
} from '../contracts/log-service.js';
import {
	ControlState,
	type ControlSnapshot,
} from '../core/documents/control-state.js';
import {type DocumentValidator} from '../core/documents/document-validator.js';
import {type PeerRecordSource} from './peer-record-source.js';
import {type RecordAppender} from './record-appender.js';
import {type ServiceOptions} from './service-options.js';

/** Options of a log follower. All durations are in milliseconds. */
export type LogFollowerOptions = ServiceOptions & {
	readonly log: LogService;
	/** Backoff between failed reads. Default: 50 ms to 1 s. */
	readonly retry?: BackoffOptions;
	/** Appender of the stream `control`. The follower does not dispose it. */
	readonly appender: RecordAppender;
	readonly validator: DocumentValidator;
	readonly peers: PeerRecordSource;
	/** How long the log may hold a read open while there are no new records. Default: 2000. */
	readonly longPollMilliseconds?: number;
	/** Maximum number of records in one read. Default: 500. */
	readonly readLimit?: number;
	/** Number of records retained for peers that catch up during a log outage. Default: 5000. */
	readonly maximumRetainedRecords?: number;
	/** Maximum time from the submission of a record until this host has applied it. Default: 12,000. */
	readonly submitTimeoutMilliseconds?: number;
};

/** Phase of the follower. The control state is empty only while `starting`. */
export type FollowerState = 'starting' | 'following' | 'outage';

/** A record that was applied to the control state, and the outcome. */
export type AppliedRecord = {
	readonly record: StoredRecord;
	readonly outcome: ApplyOutcome;
};

/** Records for a peer. `available` is false if this host does not retain records from the requested offset. */
export type RetainedRecords = LogBatch & {readonly available: boolean};

type PendingSubmit = (outcome: Result<ApplyOutcome, LogError>) => void;

const defaultRetry = {initialMilliseconds: 50, maximumMilliseconds: 1000};
// The newest snapshot can be malformed, or older than the one before it if its writer was paused.
const maximumExaminedSnapshots = 4;

/** Reads the control stream, applies its records to the control state of this host and submits new records. */
export class LogFollower extends ControlLog implements Disposable {
	/** A record was applied to the control state. */
	readonly recordApplied = new TypedEvent<AppliedRecord>();
	/** The control state was replaced by a snapshot. `recordApplied` was not published for the records it skipped. */
	readonly stateRestored = new TypedEvent<ControlState>();
	/** The follower entered another phase. */
	readonly stateChanged = new TypedEvent<FollowerState>();

	private controlState: ControlState;
	private followerState: FollowerState = 'starting';
	private nextReadOffset = 0 as LogOffset;
	private restoredSnapshotOffset = 0 as LogOffset;
	private reachableSince: number | undefined;
	private caughtUpAt = Number.NEGATIVE_INFINITY;
	private logContactAt: number | undefined;
	private isCaughtUp = false;
	private readonly retainedRecords: StoredRecord[] = [];
	private firstRetainedOffset = 0;
	private readonly pending = new Map<RecordId, PendingSubmit>();
	private readonly stopController = new AbortController();
	private running: Promise<void> | undefined;

	constructor(private readonly options: LogFollowerOptions) {
		super();
		this.controlState = new ControlState(options.validator);
	}

	/** Current phase of the follower. */
	get state(): FollowerState {
		return this.followerState;
	}

	/** Control state of this host. Restoring a snapshot replaces the object, so callers must not store a reference. */
	get control(): ControlState {
		return this.controlState;
	}

	/**
	 * Monotonic time in milliseconds since which the log has responded to all reads.
	 * Undefined if the log does not respond or this host has not applied all of its records.
	 */
	get logReachableSince(): number | undefined {
		const now = this.options.clock.monotonic();
		const isFresh =
			this.logContactAt !== undefined &&
			now - this.logContactAt <= this.contactTimeoutMilliseconds;
		return isFresh && this.isCaughtUp ? this.reachableSince : undefined;
	}

	/** Monotonic time in milliseconds of the last response of the log. Undefined before the first one. */
	get lastLogContactAt(): number | undefined {
		return this.logContactAt;
	}

	/**
	 * Monotonic time in milliseconds at which this host had last applied all records of the log,
	 * or during an outage all records of a peer. Negative infinity before the first time.
	 */
	get lastCaughtUpAt(): number {
		return this.caughtUpAt;
	}

	/** First offset that the restored snapshot does not cover. Zero if none was restored. */
	get snapshotOffset(): LogOffset {
		return this.restoredSnapshotOffset;
	}

	/** Starts reading the control stream. */
	start(): void {
		this.running ??= this.run();
	}

	submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError> {
		const {appender, clock} = this.options;
		const id = appender.createRecordId();
		const deadline = new AbortController();
		const timeoutMilliseconds =
			this.options.submitTimeoutMilliseconds ?? 12_000;
		const started = clock.monotonic();
		return new ResultAsync(
			new Promise<Result<ApplyOutcome, LogError>>((resolve) => {
				const finish: PendingSubmit = (result) => {
					if (!this.pending.delete(id)) {
						return;
					}

					deadline.abort();
					this.options.metrics.observe(
						'daisylever_control_submit_milliseconds',
						clock.monotonic() - started,
						{kind: record.kind},
					);
					resolve(result);
				};

				this.pending.set(id, finish);
				if (this.stopController.signal.aborted) {
					finish(err(new LogUnavailableError('The host is stopping.')));
					return;
				}

				const expire = async () => {
					await wait(timeoutMilliseconds, deadline.signal);
					finish(
						err(
							new LogUnavailableError(
								`The submitted record was not read back from the log within ${timeoutMilliseconds} ms.`,
							),
						),
					);
				};

				void expire();
				// A confirmed append does not resolve the call: the outcome is determined when the record is applied.
				void appender.append({id, body: record}).mapErr((error) => {
					finish(err(error));
					return error;
				});
			}),
		);
	}

	/** Returns up to `limit` retained records from an offset on, and at least one if there is one. */
	recordsFrom(from: LogOffset, limit: number): RetainedRecords {
		if (from < this.firstRetainedOffset || this.followerState === 'starting') {
			return {records: [], next: from, available: false};
		}

		const first = this.retainedRecords.findIndex(
			(record) => record.offset >= from,
		);
		const records =
			first === -1
				? []
				: this.retainedRecords.slice(first, first + Math.max(1, limit));
		const last = records.at(-1);
		return {
			records,
			next: (last ? last.offset + 1 : from) as LogOffset,
			available: true,
		};
	}

	/** Returns a snapshot of the control state, or undefined while this host has not restored its own. */
	snapshot(): ControlSnapshot | undefined {
		return this.followerState === 'starting'
			? undefined
			: this.controlState.snapshot();
	}

	async dispose(): Promise<void> {
		this.stopController.abort();
		await this.running;
		for (const finish of this.pending.values()) {
			finish(err(new LogUnavailableError('The host is stopping.')));
		}
	}

	private get longPollMilliseconds(): number {
		return this.options.longPollMilliseconds ?? 2000;
	}

	/** Time without a response after which the log no longer counts as reachable. */
	private get contactTimeoutMilliseconds(): number {
		return this.longPollMilliseconds * 2 + 1000;
	}

	private async run(): Promise<void> {
		let failures = 0;
		while (!this.stopController.signal.aborted) {
			const hasProgressed =
				this.followerState === 'starting'
					? await this.bootstrap()
					: await this.poll();
			if (hasProgressed) {
				failures = 0;
				continue;
			}

			await wait(
				backoffMilliseconds(
					failures,
					this.options.retry ?? defaultRetry,
					this.options.random,
				),
				this.stopController.signal,
			);
			failures++;
		}
	}

	/** Restores the control state from the log or else from a peer. Returns false if neither has a usable state. */
	private async bootstrap(): Promise<boolean> {
		const {log, peers} = this.options;
		const fromLog = await this.newestSnapshot();
		const bounds = await log.readBounds('control');
		if (fromLog.isOk() && bounds.isOk()) {
			this.recordLogContact();
			const start = fromLog.value?.nextOffset ?? 0;
			if (start >= bounds.value.earliest) {
				this.restore(fromLog.value ?? this.controlState, 'log');
				return true;
			}
		}

		const fromPeer = await peers.snapshot();
		const state = fromPeer.andThen((data) =>
			ControlState.restore(data, this.options.validator),
		);
		if (state.isOk()) {
			this.restore(state.value, 'peer');
			return true;
		}

		this.options.events.record(agreementEvents.snapshotUnusable, {
			log: fromLog.isErr()
				? fromLog.error.message
				: 'The log has no usable snapshot.',
			peers: state.error.message,
		});
		return false;
	}

	private async newestSnapshot(): Promise<
		Result<ControlState | undefined, LogError>
	> {
		const {log, validator} = this.options;
		const bounds = await log.readBounds('snapshots');
		if (bounds.isErr()) {
			return err(bounds.error);
		}

		const from = Math.max(
			bounds.value.earliest,
			bounds.value.next - maximumExaminedSnapshots,
		) as LogOffset;
		const batch = await log.read('snapshots', from, {
			limit: maximumExaminedSnapshots,
			waitMilliseconds: 0,
		});
		if (batch.isErr()) {
			return err(batch.error);
		}

		let newest: ControlState | undefined;
		for (const record of batch.value.records) {
			const state = ControlState.restore(record.body, validator);
			if (state.isOk() && state.value.nextOffset >= (newest?.nextOffset ?? 0)) {
				newest = state.value;
			}
		}

		return ok(newest);
	}

	private restore(state: ControlState, source: string): void {
		this.controlState = state;
		this.nextReadOffset = state.nextOffset;
		this.restoredSnapshotOffset = state.nextOffset;
		this.retainedRecords.length = 0;
		this.firstRetainedOffset = state.nextOffset;
		this.options.events.record(agreementEvents.snapshotRestored, {
			source,
			next: state.nextOffset,
			revision: state.revision,
		});
		this.setState(source === 'log' ? 'following' : 'outage');
		this.stateRestored.publish(state);
		for (const [id, finish] of this.pending) {
			if (state.hasRecentRecord(id)) {
				finish(
					err(
						new LogUnavailableError(
							'The record was applied within a restored snapshot, which does not contain its outcome.',
						),
					),
				);
			}
		}
	}

	private async poll(): Promise<boolean> {
		const limit = this.options.readLimit ?? 500;
		const wasCaughtUp = this.isCaughtUp;
		const result = await this.read(
			limit,
			wasCaughtUp ? this.longPollMilliseconds : 0,
		);
		if (this.stopController.signal.aborted) {
			return true;
		}

		if (result.isOk()) {
			this.recordLogContact();
			this.applyBatch(result.value);
			this.isCaughtUp = result.value.records.length < limit;
			if (this.isCaughtUp) {
				this.caughtUpAt = this.options.clock.monotonic();
			}

			this.setState('following');
			return true;
		}

		this.isCaughtUp = false;
		this.reachableSince = undefined;
		if (result.error instanceof LogTruncatedError) {
			return this.skipTruncated(result.error);
		}

		this.setState('outage');
		await this.catchUpFromPeers(limit);
		return false;
	}

	private async read(
		limit: number,
		waitMilliseconds: number,
	): Promise<Result<LogBatch, LogError>> {
		const attempt = new AbortController();
		const signal = AbortSignal.any([
			attempt.signal,
			this.stopController.signal,
		]);
		const timeout = async (): Promise<Result<LogBatch, LogError>> => {
			// Without a timeout, a connection that no longer receives data would hide an outage.
			const timeoutMilliseconds = waitMilliseconds + 1000;
			await wait(timeoutMilliseconds, signal);
			return err(
				new LogUnavailableError(
					`The log did not respond to a read within ${timeoutMilliseconds} ms.`,
				),
			);
		};

		const read = this.options.log.read(
			'control',
			this.nextReadOffset,
			{limit, waitMilliseconds},
			signal,
		);
		const result = await Promise.race([read, timeout()]);
		attempt.abort();
		return result;
	}

	private async skipTruncated(error: LogTruncatedError): Promise<boolean> {
		this.options.events.record(agreementEvents.logTruncated, {
			next: this.nextReadOffset,
			earliest: error.earliest,
		});
		const fromLog = await this.newestSnapshot();
		if (
			fromLog.isOk() &&
			fromLog.value &&
			fromLog.value.nextOffset > this.nextReadOffset
		) {
			this.restore(fromLog.value, 'log');
			return true;
		}

		const before = this.nextReadOffset;
		await this.catchUpFromPeers(this.options.readLimit ?? 500);
		return this.nextReadOffset > before;
	}

	private async catchUpFromPeers(limit: number): Promise<void> {
		const {peers, events, clock} = this.options;
		const requestedAt = clock.monotonic();
		for (;;) {
			const batch = await peers.records(this.nextReadOffset, limit);
			if (batch.isErr()) {
				await this.restoreFromPeers();
				return;
			}

			if (batch.value.records.length === 0) {
				this.caughtUpAt = requestedAt;
				return;
			}

			events.record(agreementEvents.recordsFetched, {
				from: this.nextReadOffset,
				records: batch.value.records.length,
			});
			const before = this.nextReadOffset;
			this.applyBatch(batch.value);
			if (
				this.stopController.signal.aborted ||
				this.nextReadOffset === before
			) {
				return;
			}
		}
	}

	/** Restores the state of a peer, which is available even if the peer no longer retains the records this host needs. */
	private async restoreFromPeers(): Promise<void> {
		const data = await this.options.peers.snapshot();
		const state = data.andThen((value) =>
			ControlState.restore(value, this.options.validator),
		);
		if (state.isOk() && state.value.nextOffset > this.nextReadOffset) {
			this.restore(state.value, 'peer');
		}
	}

	private applyBatch(batch: LogBatch): void {
		const maximumRetainedRecords = this.options.maximumRetainedRecords ?? 5000;
		for (const record of batch.records) {
			if (record.offset < this.nextReadOffset) {
				continue;
			}

			const outcome = this.controlState.apply(record);
			this.nextReadOffset = (record.offset + 1) as LogOffset;
			this.retainedRecords.push(record);
			this.publishOutcome(record, outcome);
		}

		this.nextReadOffset = Math.max(
			this.nextReadOffset,
			batch.next,
		) as LogOffset;
		const surplus = this.retainedRecords.length - maximumRetainedRecords;
		if (surplus > maximumRetainedRecords / 4) {
			this.retainedRecords.splice(0, surplus);
			this.firstRetainedOffset =
				this.retainedRecords[0]?.offset ?? this.nextReadOffset;
		}

		this.options.metrics.gauge(
			'daisylever_control_offset',
			this.nextReadOffset,
		);
		this.options.metrics.gauge(
			'daisylever_document_revision',
			this.controlState.revision,
		);
	}

	private publishOutcome(record: StoredRecord, outcome: ApplyOutcome): void {
		const {events, metrics} = this.options;
		metrics.count('daisylever_control_records_total', {
			result: outcome.accepted ? 'accepted' : outcome.code,
		});
		if (outcome.accepted) {
			const newest = this.controlState.history.at(-1);
			if (newest?.offset === record.offset) {
				events.record(agreementEvents.documentAccepted, {...newest});
			}
		} else {
			events.record(agreementEvents.recordIgnored, {
				id: record.id,
				offset: record.offset,
				code: outcome.code,
				reason: outcome.reason,
			});
		}

		this.recordApplied.publish({record, outcome});
		this.pending.get(record.id)?.(ok(outcome));
	}

	private recordLogContact(): void {
		const now = this.options.clock.monotonic();
		const gap = now - (this.logContactAt ?? now);
		// After a pause of this process no read has failed, but the log was not observed either.
		this.reachableSince =
			this.reachableSince === undefined || gap > this.contactTimeoutMilliseconds
				? now
				: this.reachableSince;
		this.logContactAt = now;
	}

	private setState(state: FollowerState): void {
		if (state === this.followerState) {
			return;
		}

		const before = this.followerState;
		this.followerState = state;
		if (state === 'outage') {
			this.options.events.record(agreementEvents.logOutageStarted, {
				next: this.nextReadOffset,
			});
		} else if (before === 'outage') {
			this.options.events.record(agreementEvents.logOutageEnded, {
				next: this.nextReadOffset,
			});
		}

		this.stateChanged.publish(state);
	}
}
