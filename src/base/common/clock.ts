/** Time source. Components receive it as a dependency, so that tests control the time. */
export abstract class Clock {
	/** Milliseconds on a clock that never goes backwards. Only differences are meaningful. */
	abstract monotonic(): number;

	/** Milliseconds since the Unix epoch, for records and logs. It can jump, so correctness must not depend on it. */
	abstract wall(): number;
}

/** A clock for tests that changes only through `advance`. Both times are the same. */
export class ManualClock extends Clock {
	constructor(private time = 0) {
		super();
	}

	monotonic(): number {
		return this.time;
	}

	wall(): number {
		return this.time;
	}

	/** Moves the clock forward by a number of milliseconds. */
	advance(milliseconds: number): void {
		this.time += milliseconds;
	}
}
