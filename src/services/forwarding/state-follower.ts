import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {wait} from '../../base/node/wait.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {
	HistoryTruncatedError,
	type SharedState,
	type SharedStoreError,
	type StorePosition,
} from '../../contracts/shared-store.js';

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
	readonly readDelayMilliseconds: number;
};

/** Changes that one read returned. */
export type StateChanges<Change> = {
	readonly changes: readonly Change[];
	/** True when the changes represent the complete state rather than an increment. */
	readonly isSnapshot: boolean;
	/** Time between the previous successful read and this one. */
	readonly gapMilliseconds: number;
};

const retryDelayMilliseconds = 150;

/** Follows a state in the shared store: reads the newest state once, then the changes written after it. */
export class StateFollower<Change> extends Disposable {
	/** A read returned a snapshot or at least one change. */
	readonly changed = new TypedEvent<StateChanges<Change>>();
	private readonly abort = new AbortController();
	private position: StorePosition | undefined;
	private lastReadAt: number;
	private isUnavailable = false;

	constructor(private readonly options: StateFollowerOptions<Change>) {
		super();
		this.lastReadAt = options.clock.monotonic();
	}

	/** Milliseconds since the last successful read. */
	get ageMilliseconds(): number {
		return this.options.clock.monotonic() - this.lastReadAt;
	}

	/** Follows until disposed. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		while (!signal.aborted) {
			const succeeded = await this.step();
			const delay = succeeded
				? this.options.readDelayMilliseconds
				: retryDelayMilliseconds;
			if (delay > 0) {
				await wait(delay, signal);
			}
		}
	}

	dispose(): void {
		this.abort.abort();
	}

	private async step(): Promise<boolean> {
		const {state, pollTimeoutMilliseconds} = this.options;
		const isSnapshot = this.position === undefined;
		const result = await (this.position === undefined
			? state.readNewest()
			: state.readSince(this.position, pollTimeoutMilliseconds));
		if (this.abort.signal.aborted) {
			return false;
		}

		if (result.isErr()) {
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
		this.position = result.value.next;
		this.lastReadAt = this.options.clock.monotonic();
		if (isSnapshot || result.value.changes.length > 0) {
			this.changed.publish({
				changes: result.value.changes,
				isSnapshot,
				gapMilliseconds,
			});
		}

		return true;
	}

	private handleReadError(error: SharedStoreError): void {
		const {name, events} = this.options;
		if (error instanceof HistoryTruncatedError) {
			this.position = undefined;
			events.record(forwardingEvents.historyLost, {state: name});
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
