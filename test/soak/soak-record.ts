/** A rule that was broken, with what is known of it. */
export type Violation = {
	readonly check: string;
	readonly seconds: number;
	/** Name of the stream, host or worker. */
	readonly subject: string;
	readonly detail: string;
	/** Ids of the requests that concern it, to find lines of logs. */
	readonly requests: readonly string[];
};

/** A time in which something other than planned work disturbed the fleet. */
type Disturbance = {readonly from: number; readonly to: number};

/** Keeps what happened in a soak: the actions of the schedule, disturbances and violations. */
export class SoakRecord {
	readonly violations: Violation[] = [];
	readonly actions: string[] = [];
	/** How often callers saw each outcome. */
	readonly outcomes = new Map<string, number>();
	private readonly disturbances: Disturbance[] = [];
	private readonly startedAt = performance.now();

	/** Milliseconds since the start. */
	now(): number {
		return performance.now() - this.startedAt;
	}

	act(text: string): void {
		this.actions.push(`${(this.now() / 1000).toFixed(2)} ${text}`);
	}

	count(outcome: string): void {
		this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
	}

	/** Notes a disturbance that begins now and lasts for a time. */
	disturb(milliseconds: number): void {
		const from = this.now();
		this.disturbances.push({from, to: from + milliseconds});
	}

	/** True when a disturbance overlaps the span. */
	wasDisturbed(from: number, to: number): boolean {
		return this.disturbances.some(
			(disturbance) => disturbance.from <= to && disturbance.to >= from,
		);
	}

	report(violation: Omit<Violation, 'seconds'>): void {
		this.violations.push({
			...violation,
			seconds: Number((this.now() / 1000).toFixed(2)),
		});
	}
}
