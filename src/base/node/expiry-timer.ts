/**
 * Calls back when a time has passed without `stop`.
 * Data that reached the process in time is handled first: after a pause of the process,
 * timers run before sockets are read, and the time would seem to have passed without data.
 */
export class ExpiryTimer {
	private timer: NodeJS.Timeout | undefined;
	private immediate: NodeJS.Immediate | undefined;

	constructor(private readonly callback: () => void) {}

	/** Starts or restarts the timer. */
	start(milliseconds: number): void {
		this.stop();
		this.timer = setTimeout(() => {
			this.immediate = setImmediate(this.callback);
		}, milliseconds);
	}

	/** Stops the timer. */
	stop(): void {
		clearTimeout(this.timer);
		clearImmediate(this.immediate);
	}
}
