/** Source of time for decisions. Handed in, so that tests control it. */
export abstract class Clock {
	/** Milliseconds on a clock that never runs backwards. Only differences have a meaning. */
	abstract monotonic(): number;

	/** Milliseconds since the Unix epoch, for records and logs. Never used for safety. */
	abstract wall(): number;
}

/** A clock that moves only when told to. */
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

	/** Moves the clock forward. */
	advance(milliseconds: number): void {
		this.time += milliseconds;
	}
}
