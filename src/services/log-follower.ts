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
import {ControlState, type ControlSnapshot} from '../core/control-state.js';
import {type DocumentValidator} from '../core/document-validator.js';
import {type PeerRecordSource} from './peer-record-source.js';
import {type RecordAppender} from './record-appender.js';
import {type ServiceOptions} from './service-options.js';

/** Options of the log follower. */
export type LogFollowerOptions = ServiceOptions & {
	readonly log: LogService;
	/** Delay between attempts. */
	readonly retry?: BackoffOptions;
	/** Appender of the stream `control`. The follower does not dispose it. */
	readonly appender: RecordAppender;
	readonly validator: DocumentValidator;
	readonly peers: PeerRecordSource;
	readonly longPollMilliseconds?: number;
	readonly readLimit?: number;
	/** Records kept for peers that catch up during a log outage. */
	readonly maximumRetainedRecords?: number;
	/** Time from submission until the record is folded here. */
	readonly submitTimeoutMilliseconds?: number;
};

/** What the follower does. The state is empty only while `starting`. */
export type FollowerState = 'starting' | 'following' | 'outage';

/** A record that was folded and what the fold made of it. */
export type AppliedRecord = {
	readonly record: StoredRecord;
	readonly outcome: ApplyOutcome;
};

/** Records for a peer, or nothing when this host does not keep them. */
export type RetainedRecords = LogBatch & {readonly available: boolean};

type PendingSubmit = (outcome: Result<ApplyOutcome, LogError>) => void;

const defaultRetry = {initialMilliseconds: 50, maximumMilliseconds: 1000};
// A snapshot can be malformed or older than the one before, when its writer was paused.
const examinedSnapshots = 4;

/** Folds the control stream on this host and submits records to it. */
export class LogFollower extends ControlLog implements Disposable {
	/** A record was folded. */
	readonly recordApplied = new TypedEvent<AppliedRecord>();
	/** The state was replaced by a snapshot; records in between were not announced. */
	readonly stateRestored = new TypedEvent<ControlState>();
	/** The follower changed its state. */
	readonly stateChanged = new TypedEvent<FollowerState>();

	private controlState: ControlState;
	private currentState: FollowerState = 'starting';
	private readFrom = 0 as LogOffset;
	private restoredOffset = 0 as LogOffset;
	private reachableSince: number | undefined;
	private contactAt = Number.NEGATIVE_INFINITY;
	private logContactAt: number | undefined;
	private isCaughtUp = false;
	private readonly kept: StoredRecord[] = [];
	private keptFrom = 0;
	private readonly pending = new Map<RecordId, PendingSubmit>();
	private readonly stopping = new AbortController();
	private running: Promise<void> | undefined;

	constructor(private readonly options: LogFollowerOptions) {
		super();
		this.controlState = new ControlState(options.validator);
	}

	/** What the follower does. */
	get state(): FollowerState {
		return this.currentState;
	}

	/** The fold. A restored snapshot replaces the object, so do not keep it. */
	get control(): ControlState {
		return this.controlState;
	}

	/** Since when the log has answered reads and this host has folded its end. Undefined otherwise. */
	get logReachableSince(): number | undefined {
		const now = this.options.clock.monotonic();
		const isFresh =
			this.logContactAt !== undefined &&
			now - this.logContactAt <= this.longPoll * 2 + 1000;
		return isFresh && this.isCaughtUp ? this.reachableSince : undefined;
	}

	/** Monotonic time of the last answer of the log. */
	get lastLogContactAt(): number | undefined {
		return this.logContactAt;
	}

	/** Monotonic time at which the host last folded all that the log, or a peer during an outage, had. */
	get lastCaughtUpAt(): number {
		return this.contactAt;
	}

	/** Offset up to which a snapshot covers the records, zero without one. */
	get snapshotOffset(): LogOffset {
		return this.restoredOffset;
	}

	/** Starts to follow the stream. */
	start(): void {
		this.running ??= this.run();
	}

	submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError> {
		const {appender, clock} = this.options;
		const id = appender.createRecordId();
		const deadline = new AbortController();
		const limit = this.options.submitTimeoutMilliseconds ?? 12_000;
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
				if (this.stopping.signal.aborted) {
					finish(err(new LogUnavailableError('the host is stopping')));
					return;
				}

				const expire = async () => {
					await wait(limit, deadline.signal);
					finish(err(new LogUnavailableError('the record was not read back')));
				};

				void expire();
				// A confirmed append is not enough: the outcome is known once the record is folded.
				void appender.append({id, body: record}).mapErr((error) => {
					finish(err(error));
					return error;
				});
			}),
		);
	}

	/** Returns the kept records from an offset on. */
	recordsFrom(from: LogOffset, limit: number): RetainedRecords {
		if (from < this.keptFrom || this.currentState === 'starting') {
			return {records: [], next: from, available: false};
		}

		const first = this.kept.findIndex((record) => record.offset >= from);
		const records =
			first === -1 ? [] : this.kept.slice(first, first + Math.max(1, limit));
		const last = records.at(-1);
		return {
			records,
			next: (last ? last.offset + 1 : from) as LogOffset,
			available: true,
		};
	}

	/** Returns a snapshot for a peer, or nothing while this host has no state itself. */
	snapshot(): ControlSnapshot | undefined {
		return this.currentState === 'starting'
			? undefined
			: this.controlState.snapshot();
	}

	async dispose(): Promise<void> {
		this.stopping.abort();
		await this.running;
		for (const finish of this.pending.values()) {
			finish(err(new LogUnavailableError('the host is stopping')));
		}
	}

	private get longPoll(): number {
		return this.options.longPollMilliseconds ?? 2000;
	}

	private async run(): Promise<void> {
		let failures = 0;
		while (!this.stopping.signal.aborted) {
			const step =
				this.currentState === 'starting'
					? await this.bootstrap()
					: await this.poll();
			if (step) {
				failures = 0;
				continue;
			}

			await wait(
				backoffMilliseconds(
					failures,
					this.options.retry ?? defaultRetry,
					this.options.random,
				),
				this.stopping.signal,
			);
			failures++;
		}
	}

	/** Restores the newest snapshot. Returns false when neither the log nor a peer gave one. */
	private async bootstrap(): Promise<boolean> {
		const {log, peers} = this.options;
		const fromLog = await this.newestSnapshot();
		const bounds = await log.readBounds('control');
		if (fromLog.isOk() && bounds.isOk()) {
			this.noteLogContact();
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
			log: fromLog.isErr() ? fromLog.error.message : 'no usable snapshot',
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
			bounds.value.next - examinedSnapshots,
		) as LogOffset;
		const batch = await log.read('snapshots', from, {
			limit: examinedSnapshots,
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
		this.readFrom = state.nextOffset;
		this.restoredOffset = state.nextOffset;
		this.kept.length = 0;
		this.keptFrom = state.nextOffset;
		this.options.events.record(agreementEvents.snapshotRestored, {
			source,
			next: state.nextOffset,
			revision: state.revision,
		});
		this.change(source === 'log' ? 'following' : 'outage');
		this.stateRestored.publish(state);
		for (const [id, finish] of this.pending) {
			if (state.hasRecentRecord(id)) {
				finish(
					err(
						new LogUnavailableError("a snapshot covers the record's outcome"),
					),
				);
			}
		}
	}

	private async poll(): Promise<boolean> {
		const limit = this.options.readLimit ?? 500;
		const wasCaughtUp = this.isCaughtUp;
		const result = await this.read(limit, wasCaughtUp ? this.longPoll : 0);
		if (this.stopping.signal.aborted) {
			return true;
		}

		if (result.isOk()) {
			this.noteLogContact();
			this.applyBatch(result.value);
			this.isCaughtUp = result.value.records.length < limit;
			if (this.isCaughtUp) {
				this.contactAt = this.options.clock.monotonic();
			}

			this.change('following');
			return true;
		}

		this.isCaughtUp = false;
		this.reachableSince = undefined;
		if (result.error instanceof LogTruncatedError) {
			return this.skipTruncated(result.error);
		}

		this.change('outage');
		await this.catchUpFromPeers(limit);
		return false;
	}

	private async read(
		limit: number,
		waitMilliseconds: number,
	): Promise<Result<LogBatch, LogError>> {
		const attempt = new AbortController();
		const signal = AbortSignal.any([attempt.signal, this.stopping.signal]);
		const timeout = async (): Promise<Result<LogBatch, LogError>> => {
			// A connection that went silent must not hide an outage.
			await wait(waitMilliseconds + 1000, signal);
			return err(new LogUnavailableError('the read was not answered'));
		};

		const read = this.options.log.read(
			'control',
			this.readFrom,
			{limit, waitMilliseconds},
			signal,
		);
		const result = await Promise.race([read, timeout()]);
		attempt.abort();
		return result;
	}

	private async skipTruncated(error: LogTruncatedError): Promise<boolean> {
		this.options.events.record(agreementEvents.logTruncated, {
			next: this.readFrom,
			earliest: error.earliest,
		});
		const fromLog = await this.newestSnapshot();
		if (
			fromLog.isOk() &&
			fromLog.value &&
			fromLog.value.nextOffset > this.readFrom
		) {
			this.restore(fromLog.value, 'log');
			return true;
		}

		const before = this.readFrom;
		await this.catchUpFromPeers(this.options.readLimit ?? 500);
		return this.readFrom > before;
	}

	private async catchUpFromPeers(limit: number): Promise<void> {
		const {peers, events, clock} = this.options;
		const askedAt = clock.monotonic();
		for (;;) {
			const batch = await peers.records(this.readFrom, limit);
			if (batch.isErr()) {
				await this.restoreFromPeers();
				return;
			}

			if (batch.value.records.length === 0) {
				this.contactAt = askedAt;
				return;
			}

			events.record(agreementEvents.recordsFetched, {
				from: this.readFrom,
				records: batch.value.records.length,
			});
			const before = this.readFrom;
			this.applyBatch(batch.value);
			if (this.stopping.signal.aborted || this.readFrom === before) {
				return;
			}
		}
	}

	/** A peer that dropped the records this host needs still has the state. */
	private async restoreFromPeers(): Promise<void> {
		const data = await this.options.peers.snapshot();
		const state = data.andThen((value) =>
			ControlState.restore(value, this.options.validator),
		);
		if (state.isOk() && state.value.nextOffset > this.readFrom) {
			this.restore(state.value, 'peer');
		}
	}

	private applyBatch(batch: LogBatch): void {
		const maximumRetainedRecords = this.options.maximumRetainedRecords ?? 5000;
		for (const record of batch.records) {
			if (record.offset < this.readFrom) {
				continue;
			}

			const outcome = this.controlState.apply(record);
			this.readFrom = (record.offset + 1) as LogOffset;
			this.kept.push(record);
			this.announce(record, outcome);
		}

		this.readFrom = Math.max(this.readFrom, batch.next) as LogOffset;
		const surplus = this.kept.length - maximumRetainedRecords;
		if (surplus > maximumRetainedRecords / 4) {
			this.kept.splice(0, surplus);
			this.keptFrom = this.kept[0]?.offset ?? this.readFrom;
		}

		this.options.metrics.gauge('daisylever_control_offset', this.readFrom);
		this.options.metrics.gauge(
			'daisylever_document_revision',
			this.controlState.revision,
		);
	}

	private announce(record: StoredRecord, outcome: ApplyOutcome): void {
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

	private noteLogContact(): void {
		const now = this.options.clock.monotonic();
		const gap = now - (this.logContactAt ?? now);
		// After a pause of this process the reads did not fail, but the log was not observed either.
		this.reachableSince =
			this.reachableSince === undefined || gap > this.longPoll * 2 + 1000
				? now
				: this.reachableSince;
		this.logContactAt = now;
	}

	private change(state: FollowerState): void {
		if (state === this.currentState) {
			return;
		}

		const before = this.currentState;
		this.currentState = state;
		if (state === 'outage') {
			this.options.events.record(agreementEvents.logOutageStarted, {
				next: this.readFrom,
			});
		} else if (before === 'outage') {
			this.options.events.record(agreementEvents.logOutageEnded, {
				next: this.readFrom,
			});
		}

		this.stateChanged.publish(state);
	}
}
