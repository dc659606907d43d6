import {maximumTimerMilliseconds} from '../common/timer-limits.js';

/**
 * A restartable timeout. It calls back unless it is restarted, paused or stopped in time.
 *
 * The callback runs one event loop phase after the timer, once pending socket data was read. After a pause of
 * the process, timers run before sockets are read, so data that arrived in time would otherwise count as late.
 */
export class ExpiryTimer {
	private timer: NodeJS.Timeout | undefined;
	private immediate: NodeJS.Immediate | undefined;
	private milliseconds = 0;
	private isPaused = false;

	constructor(private readonly callback: () => void) {}

	/** Starts or restarts the timer. It expires after the given number of milliseconds. */
	start(milliseconds: number): void {
		this.isPaused = false;
		clearImmediate(this.immediate);
		// A stream restarts its timer for each token. Refreshing it avoids the allocation of a new timer.
		if (this.timer && this.milliseconds === milliseconds) {
			this.timer.refresh();
			return;
		}

		clearTimeout(this.timer);
		this.milliseconds = milliseconds;
		this.timer = setTimeout(
			() => {
				if (!this.isPaused) {
					this.immediate = setImmediate(this.callback);
				}
			},
			Math.min(maximumTimerMilliseconds, milliseconds),
		);
	}

	/**
	 * Suppresses the callback until `start` is called again. Cheaper than `stop` when that is soon, but the
	 * underlying timer keeps the process running until it expires or is stopped.
	 */
	pause(): void {
		this.isPaused = true;
		clearImmediate(this.immediate);
	}

	/** Cancels the timer. */
	stop(): void {
		clearTimeout(this.timer);
		clearImmediate(this.immediate);
		this.timer = undefined;
	}
}
