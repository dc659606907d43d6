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

/** Options of a follower. */
export type StateFollowerOptions<Change> = {
	/** Name of the state in log lines. */
	readonly name: string;
	readonly state: SharedState<Change>;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Time that a read waits for a change in the store. */
	readonly pollMilliseconds: number;
	/** Pause between reads. */
	readonly pauseMilliseconds: number;
};

/** Changes that one read returned. */
export type StateChanges<Change> = {
	readonly changes: readonly Change[];
	/** True when the changes are the whole state. */
	readonly isSnapshot: boolean;
	/** Time without a successful read before this one. */
	readonly gapMilliseconds: number;
};

const retryMilliseconds = 150;

/** Follows a state in the shared store: the newest state once, then what is written after it. */
export class StateFollower<Change> extends Disposable {
	readonly changed = new TypedEvent<StateChanges<Change>>();
	private readonly abort = new AbortController();
	private position: StorePosition | undefined;
	private lastReadAt: number;
	private isLost = false;

	constructor(private readonly options: StateFollowerOptions<Change>) {
		super();
		this.lastReadAt = options.clock.monotonic();
	}

	/** Time since the last successful read. */
	get ageMilliseconds(): number {
		return this.options.clock.monotonic() - this.lastReadAt;
	}

	/** Follows until disposed. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		while (!signal.aborted) {
			const succeeded = await this.step();
			const pause = succeeded
				? this.options.pauseMilliseconds
				: retryMilliseconds;
			if (pause > 0) {
				await wait(pause, signal);
			}
		}
	}

	dispose(): void {
		this.abort.abort();
	}

	private async step(): Promise<boolean> {
		const {state, pollMilliseconds} = this.options;
		const isNewest = this.position === undefined;
		const result = await (this.position === undefined
			? state.readNewest()
			: state.readSince(this.position, pollMilliseconds));
		if (this.abort.signal.aborted) {
			return false;
		}

		if (result.isErr()) {
			this.noteError(result.error);
			return false;
		}

		if (this.isLost) {
			this.isLost = false;
			this.options.events.record(forwardingEvents.storeRegained, {
				state: this.options.name,
				gapMilliseconds: Math.round(this.ageMilliseconds),
			});
		}

		const gapMilliseconds = this.ageMilliseconds;
		this.position = result.value.next;
		this.lastReadAt = this.options.clock.monotonic();
		if (isNewest || result.value.changes.length > 0) {
			this.changed.publish({
				changes: result.value.changes,
				isSnapshot: isNewest,
				gapMilliseconds,
			});
		}

		return true;
	}

	private noteError(error: SharedStoreError): void {
		const {name, events} = this.options;
		if (error instanceof HistoryTruncatedError) {
			this.position = undefined;
			events.record(forwardingEvents.historyLost, {state: name});
			return;
		}

		if (!this.isLost) {
			this.isLost = true;
			events.record(forwardingEvents.storeLost, {
				state: name,
				reason: error.message,
			});
		}
	}
}
