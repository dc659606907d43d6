import {ResultAsync, type Result} from 'neverthrow';
import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {repeatWhenLate} from '../../../base/common/repeat-when-late.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {
	HistoryTruncatedError,
	StoreRestoredError,
	type SharedState,
	type SharedStoreError,
	type StoreChanges,
	type StorePosition,
} from '../../../contracts/shared-store.js';

/** Options of a state follower. */
export type StateFollowerOptions<Change> = {
	/** Name of the state in log events. */
	readonly name: string;
	readonly state: SharedState<Change>;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Time for which a read waits for a change in the store (long polling). */
	readonly pollTimeoutMilliseconds: number;
	/** Delay between a successful read and the next one. */
	readonly readDelayMilliseconds: () => number;
	/** Age of the state from which it is read from the store, although another host keeps sending it. */
	readonly maximumReceivedAgeMilliseconds: number;
	/** Time since the start of the read that confirmed the state from which it is read from the store. No limit if absent. */
	readonly maximumConfirmationAgeMilliseconds?: number | undefined;
	/** Time without an answer after which a read is sent again beside the first one. Reads are not repeated if absent. */
	readonly repeatMilliseconds?: number;
	/** True while this host has to read the store, because the others receive the state from it. */
	readonly isReader: () => boolean;
};

/** State that another host has read from the store. */
export type ReceivedState<Change> = {
	readonly changes: readonly Change[];
	readonly isSnapshot: boolean;
	/** Position up to which the other host has read. */
	readonly position: StorePosition;
	/** Time since it read the store. */
	readonly ageMilliseconds: number;
	/** Time since the start of the read of the store that confirmed the state, undefined if the other host does not tell. */
	readonly confirmationAgeMilliseconds?: number | undefined;
};

/** Changes that one read returned. */
export type StateChanges<Change> = {
	readonly changes: readonly Change[];
	/** True when the changes represent the complete state rather than an increment. */
	readonly isSnapshot: boolean;
	/** True when the store was restored from a copy since the previous read, so that newer changes may be missing. */
	readonly isRestored: boolean;
	/** True when changes between the previous state and this one may be missing. */
	readonly mayLackChanges: boolean;
	/** Time between the previous successful read and this one. */
	readonly gapMilliseconds: number;
	/** True when a read of this host has failed since its previous successful one. */
	readonly hasFailed: boolean;
};

const retryDelayMilliseconds = 150;
/** Longest delay after failed reads while another host sends the state. The first one is short, because the state is old already. */
const maximumReceivingRetryDelayMilliseconds = 1000;
/** Delay after a read that could not be applied. */
const failureDelayMilliseconds = 2000;
/** Characters of the reason in a log line. */
const maximumReasonLength = 300;
/** Time since the last message of another host up to which this one relies on it. Longer than the interval of its messages. */
const senderTimeoutMilliseconds = 2000;

/**
 * Follows a state in the shared store: reads the newest state once, then the changes written after it. While another
 * host sends the changes in time, the store is not read.
 */
export class StateFollower<Change> extends Disposable {
	/** A read returned a snapshot or at least one change. */
	readonly changed = new TypedEvent<StateChanges<Change>>();
	private readonly abort = new AbortController();
	private position: StorePosition | undefined;
	/** Time at which this host, or the host that sent the state, last read the store. */
	private lastReadAt: number;
	/** Start of the last read, of this host or another one, that showed that no newer state was stored before. */
	private confirmedAt = Number.NEGATIVE_INFINITY;
	private ownReadAt = Number.NEGATIVE_INFINITY;
	private receivedAt = Number.NEGATIVE_INFINITY;
	private isOutdated = false;
	private isUnavailable = false;
	/** Reads that have failed since the last successful one. */
	private failedReads = 0;
	/** True from the read that shows that the store lost records until the next successful read. */
	private hasLostRecords = false;
	private wasReceiving = false;
	private hadState = false;
	private wake: (() => void) | undefined;

	constructor(private readonly options: StateFollowerOptions<Change>) {
		super();
		this.lastReadAt = options.clock.monotonic();
	}

	/** Milliseconds since the last successful read. */
	get ageMilliseconds(): number {
		return this.options.clock.monotonic() - this.lastReadAt;
	}

	/** Milliseconds since a read of the store began that confirmed the state. What was stored before that is known. Infinite before the first read. */
	get confirmationAgeMilliseconds(): number {
		return this.options.clock.monotonic() - this.confirmedAt;
	}

	/** Position up to which the state is known, 0 before the first read. */
	get currentPosition(): StorePosition {
		return this.position ?? 0;
	}

	/** Follows until disposed. */
	async run(): Promise<void> {
		while (!this.abort.signal.aborted) {
			const delay = this.readDelay();
			if (delay > 0) {
				await this.sleep(delay);
				continue;
			}

			const isRead = await ResultAsync.fromPromise(this.step(), String);
			if (isRead.isErr()) {
				await this.handleStepFailure(isRead.error);
				continue;
			}

			if (!isRead.value) {
				await this.sleep(this.retryDelay());
			}
		}
	}

	/** Applies changes that another host has read. Returns false if this host has read further itself. */
	receive({
		changes,
		isSnapshot,
		position,
		ageMilliseconds,
		confirmationAgeMilliseconds,
	}: ReceivedState<Change>): boolean {
		const now = this.options.clock.monotonic();
		this.receivedAt = now;
		if (this.position === undefined || position < this.position) {
			return false;
		}

		const gapMilliseconds = this.ageMilliseconds;
		this.position = position;
		this.isOutdated = false;
		this.lastReadAt = Math.max(this.lastReadAt, now - ageMilliseconds);
		this.confirm(now, confirmationAgeMilliseconds);
		if (isSnapshot || changes.length > 0) {
			this.changed.publish({
				changes,
				isSnapshot,
				isRestored: false,
				mayLackChanges: true,
				gapMilliseconds,
				hasFailed: this.failedReads > 0,
			});
		}

		return true;
	}

	/** Reads the store without delay, because another host has a newer state. */
	readSoon(): void {
		this.isOutdated = true;
		this.wake?.();
	}

	/** Reads the complete state from the store without delay, because what another host sent lacks a part of it. */
	readAgain(): void {
		this.position = undefined;
		this.wake?.();
	}

	/** Records up to which position another host has read. A newer state is read from the store. */
	receivePosition(
		position: StorePosition,
		ageMilliseconds: number,
		confirmationAgeMilliseconds?: number,
	): void {
		const now = this.options.clock.monotonic();
		this.receivedAt = now;
		if (this.position === undefined || position < this.position) {
			return;
		}

		if (position > this.position) {
			this.readSoon();
			return;
		}

		this.lastReadAt = Math.max(this.lastReadAt, now - ageMilliseconds);
		this.confirm(now, confirmationAgeMilliseconds);
	}

	dispose(): void {
		this.abort.abort();
		this.wake?.();
	}

	/** True while another host sends the state to this one. */
	private get isReceiving(): boolean {
		return (
			!this.options.isReader() &&
			this.options.clock.monotonic() - this.receivedAt <
				senderTimeoutMilliseconds
		);
	}

	private confirm(now: number, ageMilliseconds: number | undefined): void {
		if (ageMilliseconds !== undefined) {
			this.confirmedAt = Math.max(this.confirmedAt, now - ageMilliseconds);
		}
	}

	/** Time for which this host still relies on what another one sends. */
	private receivedDelay(): number {
		const {
			maximumReceivedAgeMilliseconds,
			maximumConfirmationAgeMilliseconds = Number.POSITIVE_INFINITY,
		} = this.options;
		return Math.min(
			maximumReceivedAgeMilliseconds - this.ageMilliseconds,
			maximumConfirmationAgeMilliseconds === Number.POSITIVE_INFINITY
				? Number.POSITIVE_INFINITY
				: maximumConfirmationAgeMilliseconds - this.confirmationAgeMilliseconds,
		);
	}

	/** Time until the next read of the store. */
	private readDelay(): number {
		if (this.position === undefined || this.isOutdated) {
			return 0;
		}

		const {clock} = this.options;
		const {isReceiving} = this;
		const delay = isReceiving
			? this.receivedDelay()
			: this.options.readDelayMilliseconds() -
				(clock.monotonic() - this.ownReadAt);
		this.recordSource(isReceiving && delay > 0);
		return delay;
	}

	/** Time until the next read after a failed one. It grows while another host sends the state, because the store may turn this host away for long. */
	private retryDelay(): number {
		return this.isReceiving
			? Math.min(
					maximumReceivingRetryDelayMilliseconds,
					retryDelayMilliseconds * 2 ** Math.max(0, this.failedReads - 1),
				)
			: retryDelayMilliseconds;
	}

	private recordSource(isReceiving: boolean): void {
		if (this.wasReceiving === isReceiving || this.options.isReader()) {
			return;
		}

		const {events, name} = this.options;
		this.wasReceiving = isReceiving;
		events.record(
			isReceiving
				? forwardingEvents.stateReceived
				: forwardingEvents.stateReadDirectly,
			{
				state: name,
				ageMilliseconds: Math.round(this.ageMilliseconds),
				position: this.position,
			},
		);
	}

	private async sleep(milliseconds: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const timer = setTimeout(resolve, milliseconds);
			this.wake = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.wake = undefined;
	}

	private async step(): Promise<boolean> {
		const {clock} = this.options;
		const isSnapshot = this.position === undefined;
		// A change that another host has seen needs no wait, whose lost answer would be noticed seconds later.
		const waitMilliseconds = this.isOutdated
			? 0
			: this.options.pollTimeoutMilliseconds;
		const startedAt = clock.monotonic();
		const result = await this.read(waitMilliseconds);
		if (this.abort.signal.aborted) {
			return false;
		}

		if (result.isErr()) {
			this.failedReads++;
			this.handleReadError(result.error);
			return false;
		}

		if (this.isUnavailable) {
			this.isUnavailable = false;
			this.options.events.record(forwardingEvents.storeRegained, {
				state: this.options.name,
				gapMilliseconds: Math.round(this.ageMilliseconds),
			});
		}

		const gapMilliseconds = this.ageMilliseconds;
		const hasFailed = this.failedReads > 0;
		const {changes, next, isPartial} = result.value;
		this.failedReads = 0;
		this.isOutdated = isPartial === true && changes.length > 0;
		// A long poll returns what the store holds when it ends, another read at the latest what it held at its start.
		this.ownReadAt = waitMilliseconds > 0 ? clock.monotonic() : startedAt;
		// Another host may have sent a newer state during the read.
		if (!isSnapshot && next < (this.position ?? 0)) {
			return true;
		}

		this.position = next;
		if (!isPartial) {
			this.lastReadAt = Math.max(this.lastReadAt, this.ownReadAt);
			this.confirmedAt = Math.max(this.confirmedAt, startedAt);
		}

		const isRestored = this.hasLostRecords;
		const {hadState} = this;
		this.hadState = true;
		this.hasLostRecords = false;
		if (isSnapshot || changes.length > 0) {
			this.changed.publish({
				changes,
				isSnapshot,
				isRestored,
				mayLackChanges: isSnapshot && hadState && !isRestored,
				gapMilliseconds,
				hasFailed,
			});
		}

		return true;
	}

	private async read(
		waitMilliseconds: number,
	): Promise<Result<StoreChanges<Change>, SharedStoreError>> {
		const {state, repeatMilliseconds} = this.options;
		const {position} = this;
		if (position === undefined) {
			return state.readNewest();
		}

		const readOnce = () => state.readSince(position, waitMilliseconds);
		return repeatMilliseconds === undefined || waitMilliseconds > 0
			? readOnce()
			: repeatWhenLate(readOnce, (action) => {
					const timer = setTimeout(action, repeatMilliseconds);
					return () => {
						clearTimeout(timer);
					};
				});
	}

	/** Lets the host read the complete state again after what it read could not be applied. */
	private async handleStepFailure(reason: string): Promise<void> {
		this.options.events.record(forwardingEvents.stateReadFailed, {
			state: this.options.name,
			reason: reason.slice(0, maximumReasonLength),
		});
		this.position = undefined;
		await this.sleep(failureDelayMilliseconds);
	}

	private handleReadError(error: SharedStoreError): void {
		const {name, events} = this.options;
		if (
			error instanceof HistoryTruncatedError ||
			error instanceof StoreRestoredError
		) {
			events.record(forwardingEvents.historyLost, {
				state: name,
				position: this.position,
				earliest: error.earliest,
			});
			// A store that names no generation shows by its shorter log that it was restored.
			this.hasLostRecords ||=
				error instanceof StoreRestoredError ||
				error.earliest <= (this.position ?? 0);
			this.position = undefined;
			return;
		}

		if (!this.isUnavailable) {
			this.isUnavailable = true;
			events.record(forwardingEvents.storeLost, {
				state: name,
				reason: error.message,
			});
		}
	}
}
