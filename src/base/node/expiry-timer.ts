/**
 * Calls back when a time has passed without `stop`.
 * Data that reached the process in time is handled first: after a pause of the process,
 * timers run before sockets are read, and the time would seem to have passed without data.
 */
export class ExpiryTimer {
	private timer: NodeJS.Timeout | undefined;
	private immediate: NodeJS.Immediate | undefined;
	private milliseconds = 0;
	private isPaused = false;

	constructor(private readonly callback: () => void) {}

	/** Starts or restarts the timer. */
	start(milliseconds: number): void {
		this.isPaused = false;
		clearImmediate(this.immediate);
		// A stream restarts its timer for each token; a refresh costs no new timer.
		if (this.timer && this.milliseconds === milliseconds) {
			this.timer.refresh();
			return;
		}

		clearTimeout(this.timer);
		this.milliseconds = milliseconds;
		this.timer = setTimeout(() => {
			if (!this.isPaused) {
				this.immediate = setImmediate(this.callback);
			}
		}, milliseconds);
	}

	/** Stops the timer, which is likely to be started again soon. It keeps the process running until its time has passed or it is stopped. */
	pause(): void {
		this.isPaused = true;
		clearImmediate(this.immediate);
	}

	/** Stops the timer. */
	stop(): void {
		clearTimeout(this.timer);
		clearImmediate(this.immediate);
		this.timer = undefined;
	}
}
