import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {type RouteRule} from '../../contracts/forwarding-document.js';
import {
	type Fingerprint,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {
	type ResponseMetadata,
	type RequestCodec,
	type RequestMetadata,
} from '../../contracts/request-codec.js';
import {EventStreamSplitter} from '../../core/event-stream-splitter.js';
import {type CallerAnswer} from './caller-answer.js';

/** A request of a caller as it is forwarded. */
export type ForwardedRequestOptions = {
	/** Unique on this host. Callers may use an id twice. */
	readonly key: RequestId;
	readonly facts: RequestMetadata;
	readonly route: RouteRule;
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	readonly body: Buffer;
	readonly fingerprint: Fingerprint;
	readonly answer: CallerAnswer;
	readonly documentVersion: number;
	/** Monotonic time at which the last byte arrived. */
	readonly arrivedAt: number;
	readonly codec: RequestCodec;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Called once when the request has its final answer. */
	readonly onFinished: (request: ForwardedRequest, outcome: string) => void;
};

/** Statuses that promise that a request did not run. A target's answer with one of them and without that statement is not passed on. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Time from a send until the first event or the answer of a target that is not overloaded. */
const usualStartMilliseconds = 60;
/** Callers leave a stream without an event after two seconds or four times the objective. Work that has not started well before is refused, so that they can come back in time. */
const leastPatienceMilliseconds = 1300;
const patienceObjectives = 2.6;
/** What a caller waits for at most beyond the time limit, so that a target's own answer at the limit arrives first. */
export const limitGraceMilliseconds = 40;

/** The state of one request between its caller and the targets that it is sent to. */
export class ForwardedRequest {
	readonly facts: RequestMetadata;
	readonly route: RouteRule;
	/** Last event passed on to the caller, or the one that it asked to continue after. */
	lastEventId: number | undefined;
	/** Attempts that may have run, those in flight included. */
	runs = 0;
	/** Targets at which a stream broke. */
	readonly brokenAt: TargetId[] = [];
	/** Events passed on. */
	eventCount = 0;
	/** Longest pause between two events. */
	largestGapMilliseconds = 0;
	/** Parts of a stream after the first were taken from another target. */
	continuations = 0;
	/** Time from arrival until the first attempt was sent. */
	waitedMilliseconds: number | undefined;
	private eventAt: number | undefined;
	private splitter = new EventStreamSplitter();
	private failureAnswer: {facts: ResponseMetadata; body: Buffer} | undefined;
	private timer: NodeJS.Timeout | undefined;
	private isFinished = false;

	constructor(readonly options: ForwardedRequestOptions) {
		this.facts = options.facts;
		this.route = options.route;
		this.lastEventId = options.facts.lastEventId;
	}

	get key(): RequestId {
		return this.options.key;
	}

	get isOver(): boolean {
		return this.isFinished;
	}

	/** True when the head of a stream was passed on. */
	get hasStarted(): boolean {
		return this.options.answer.hasStarted;
	}

	/** True when the request may run more than once. */
	get isRepeatable(): boolean {
		const {kind, isResumable} = this.route;
		return kind === 'idempotent' || (kind === 'stream' && isResumable);
	}

	/** Monotonic time at which the final answer is due. */
	get limitAt(): number {
		const {arrivedAt, facts, route} = this.options;
		return (
			arrivedAt +
			Math.min(
				route.timeoutMilliseconds,
				facts.remainingMilliseconds ?? Number.POSITIVE_INFINITY,
			)
		);
	}

	remaining(): number {
		return this.limitAt - this.options.clock.monotonic();
	}

	/** Time left in which a start at a target keeps the objective. */
	promptMilliseconds(): number {
		const {arrivedAt, clock} = this.options;
		const due = arrivedAt + this.route.latencyObjectiveMilliseconds;
		return due - usualStartMilliseconds - clock.monotonic();
	}

	/** Time left in which the caller waits for a start. A stream that goes on has started. */
	patienceMilliseconds(): number {
		const {arrivedAt, clock, answer} = this.options;
		if (answer.hasStarted) {
			return this.remaining();
		}

		const patience = Math.max(
			leastPatienceMilliseconds,
			patienceObjectives * this.route.latencyObjectiveMilliseconds,
		);
		return Math.min(this.remaining(), arrivedAt + patience - clock.monotonic());
	}

	/** Starts the time limit. */
	start(onExpired: () => void): void {
		this.timer = setTimeout(
			onExpired,
			Math.max(0, this.remaining() + limitGraceMilliseconds),
		);
	}

	/** Passes on the head of the first stream. The head of a continuation is dropped. */
	streamStarted(answer: ResponseMetadata): void {
		this.splitter = new EventStreamSplitter();
		if (!this.options.answer.hasStarted) {
			this.options.answer.startStream(
				answer.status,
				answer.forwardedHeaders,
				answer.isFramed,
			);
		}
	}

	/** Passes on whole events. Returns false when an event does not follow the last one. */
	streamData(chunk: Buffer): boolean {
		for (const event of this.splitter.push(chunk)) {
			if (event.id !== undefined) {
				if (this.lastEventId !== undefined && event.id <= this.lastEventId) {
					return false;
				}

				this.lastEventId = event.id;
			}

			this.eventCount++;
			this.options.answer.write(event.bytes);
		}

		this.noteGap();
		return true;
	}

	/** Passes on the end of the stream. Returns false when it ends within an event. */
	streamEnded(): boolean {
		if (this.splitter.remainder.length > 0) {
			return false;
		}

		this.options.answer.end();
		this.finish('complete');
		return true;
	}

	/** Keeps a target's failure, which is the answer when no other target gives a better one. */
	keepFailure(facts: ResponseMetadata, body: Buffer): void {
		this.failureAnswer = {facts, body};
	}

	/** Passes on a whole answer of a target. */
	deliver(facts: ResponseMetadata, body: Buffer): void {
		if (!this.isRepeatable && notRunStatuses.has(facts.status)) {
			this.fail('the target answered a status that promises too much');
			return;
		}

		if (facts.isFramed) {
			this.options.answer.send(facts.status, facts.forwardedHeaders, body);
		} else {
			this.options.answer.sendUnframed(
				facts.status,
				facts.forwardedHeaders,
				body,
			);
		}

		this.finish(`status ${facts.status}`);
	}

	/** Answers that the request was not run and never will be. */
	refuse(reason: string, retryAfterMilliseconds: number): void {
		if (this.runs > 0) {
			this.fail(reason);
			return;
		}

		this.answerOwn(503, reason, retryAfterMilliseconds);
	}

	/** Answers that the outcome is unknown, or with the failure that a target gave. */
	fail(reason: string, status: 502 | 504 = 502): void {
		const {answer} = this.options;
		if (answer.hasStarted) {
			answer.abort();
			this.finish(`broken: ${reason}`);
			return;
		}

		const kept = this.failureAnswer;
		this.failureAnswer = undefined;
		if (kept && !notRunStatuses.has(kept.facts.status)) {
			this.deliver(kept.facts, kept.body);
			return;
		}

		this.answerOwn(status, reason, undefined);
	}

	/** The time limit has passed. */
	expire(): void {
		if (this.runs > 0) {
			this.fail('the time limit has passed', 504);
			return;
		}

		this.answerOwn(503, 'the time limit has passed', 0);
	}

	/** The caller is gone. */
	callerLeft(): void {
		this.finish('caller left');
	}

	private noteGap(): void {
		const now = this.options.clock.monotonic();
		if (this.eventAt !== undefined) {
			this.largestGapMilliseconds = Math.max(
				this.largestGapMilliseconds,
				now - this.eventAt,
			);
		}

		this.eventAt = now;
	}

	private answerOwn(
		status: number,
		reason: string,
		retryAfterMilliseconds: number | undefined,
	): void {
		const {answer, codec, facts} = this.options;
		const headers = codec.encodeLocalResponse(facts.id, retryAfterMilliseconds);
		answer.send(
			status,
			[...Object.entries(headers).flat(), 'Content-Type', 'text/plain'],
			'',
		);
		this.finish(`own ${status}: ${reason}`);
	}

	private finish(outcome: string): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		clearTimeout(this.timer);
		const {events, clock, arrivedAt, route, facts, documentVersion} =
			this.options;
		events.record(forwardingEvents.requestAnswered, {
			request: facts.id,
			route: route.name,
			model: facts.model,
			adapter: facts.adapter,
			outcome,
			milliseconds: Math.round(clock.monotonic() - arrivedAt),
			waitedMilliseconds:
				this.waitedMilliseconds === undefined
					? undefined
					: Math.round(this.waitedMilliseconds),
			runs: this.runs,
			events: this.eventCount,
			largestGapMilliseconds: Math.round(this.largestGapMilliseconds),
			continuations: this.continuations,
			documentVersion,
		});
		this.options.onFinished(this, outcome);
	}
}
