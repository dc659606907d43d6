import {parseSoakEvent} from './soak-messages.js';

/** What a caller asks for and expects of a stream. */
export type StreamPlan = {
	readonly name: string;
	/** Number of events of the whole stream. */
	readonly total: number;
	/** True when a new execution may go on after the last event. */
	readonly isResumable: boolean;
};

/** Reports how a stream breaks a rule. */
export type StreamReport = (check: string, detail: string) => void;

/** Follows one stream over all tries of its caller and reports events that are missing, repeated, foreign or of two versions. */
export class StreamChecker {
	lastIndex = 0;
	private text = '';
	private execution: string | undefined;
	private version: string | undefined;
	private hasReported = false;

	constructor(
		private readonly plan: StreamPlan,
		private readonly onViolation: StreamReport,
	) {}

	/** True once the last event was received. */
	get hasLastEvent(): boolean {
		return this.lastIndex >= this.plan.total;
	}

	/** Begins a try, which goes on after the last event. What was received of an event before is dropped. */
	beginTry(): void {
		this.text = '';
	}

	/** Adds bytes of the answer. */
	push(text: string): void {
		this.text += text;
		for (;;) {
			const end = this.text.indexOf('\n\n');
			if (end === -1) {
				return;
			}

			this.checkEvent(this.text.slice(0, end));
			this.text = this.text.slice(end + 2);
		}
	}

	/** Ends a try whose answer was complete by its framing. */
	complete(): void {
		if (!this.hasLastEvent || this.text.length > 0) {
			this.report(
				'complete before its last event',
				`${this.lastIndex} of ${this.plan.total} events, rest ${JSON.stringify(this.text)}`,
			);
		}
	}

	private checkEvent(text: string): void {
		const event = parseSoakEvent(text);
		if (!event || event.id !== event.index) {
			this.report('unreadable event', JSON.stringify(text.slice(0, 200)));
			return;
		}

		if (event.stream !== this.plan.name) {
			this.report('event of another stream', text);
		}

		if (event.index > this.lastIndex + 1) {
			this.report('event missing', `${text} after ${this.lastIndex}`);
		} else if (event.index <= this.lastIndex) {
			this.report('event twice', `${text} after ${this.lastIndex}`);
		}

		const isJoined =
			this.execution !== undefined && this.execution !== event.execution;
		if (
			isJoined &&
			(!this.plan.isResumable || event.after !== this.lastIndex)
		) {
			this.report(
				'two executions joined',
				`${text} after ${this.lastIndex} of ${this.execution}`,
			);
		}

		if (this.version !== undefined && this.version !== event.version) {
			this.report('two software versions', `${text} after ${this.version}`);
		}

		this.lastIndex = event.index;
		this.execution = event.execution;
		this.version ??= event.version;
	}

	private report(check: string, detail: string): void {
		if (!this.hasReported) {
			this.hasReported = true;
			this.onViolation(check, detail);
		}
	}
}
