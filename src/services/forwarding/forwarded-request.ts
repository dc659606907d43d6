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
import {type CallerResponse} from './caller-response.js';

/** A request of a caller as it is forwarded. */
export type ForwardedRequestOptions = {
	/** Unique on this host. Callers may use an id twice. */
	readonly key: RequestId;
	readonly metadata: RequestMetadata;
	readonly route: RouteRule;
	readonly method: string;
	/** Path and query as the caller sent them. */
	readonly requestTarget: string;
	readonly body: Buffer;
	readonly fingerprint: Fingerprint;
	readonly response: CallerResponse;
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
export const deadlineGraceMilliseconds = 40;

/** The state of one request between its caller and the targets that it is sent to. */
export class ForwardedRequest {
	readonly metadata: RequestMetadata;
	readonly route: RouteRule;
	/** Last event passed on to the caller, or the one that it asked to continue after. */
	lastEventId: number | undefined;
	/** Attempts that may have run, those in flight included. */
	executions = 0;
	/** Targets at which a stream broke. */
	readonly brokenStreamTargets: TargetId[] = [];
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
	private hasFinished = false;

	constructor(readonly options: ForwardedRequestOptions) {
		this.metadata = options.metadata;
		this.route = options.route;
		this.lastEventId = options.metadata.lastEventId;
	}

	get key(): RequestId {
		return this.options.key;
	}

	get isFinished(): boolean {
		return this.hasFinished;
	}

	/** True when the head of a stream was passed on. */
	get hasStarted(): boolean {
		return this.options.response.hasStarted;
	}

	/** True when the request may run more than once. */
	get isRepeatable(): boolean {
		const {kind, isResumable} = this.route;
		return kind === 'idempotent' || (kind === 'stream' && isResumable);
	}

	/** Monotonic time at which the final answer is due. */
	get deadline(): number {
		const {arrivedAt, metadata: facts, route} = this.options;
		return (
			arrivedAt +
			Math.min(
				route.timeoutMilliseconds,
				facts.remainingMilliseconds ?? Number.POSITIVE_INFINITY,
			)
		);
	}

	remainingMilliseconds(): number {
		return this.deadline - this.options.clock.monotonic();
	}

	/** Time left in which a start at a target keeps the objective. */
	startObjectiveMilliseconds(): number {
		const {arrivedAt, clock} = this.options;
		const due = arrivedAt + this.route.latencyObjectiveMilliseconds;
		return due - usualStartMilliseconds - clock.monotonic();
	}

	/** Time left in which the caller waits for a start. A stream that goes on has started. */
	startTimeoutMilliseconds(): number {
		const {arrivedAt, clock, response: answer} = this.options;
		if (answer.hasStarted) {
			return this.remainingMilliseconds();
		}

		const patience = Math.max(
			leastPatienceMilliseconds,
			patienceObjectives * this.route.latencyObjectiveMilliseconds,
		);
		return Math.min(
			this.remainingMilliseconds(),
			arrivedAt + patience - clock.monotonic(),
		);
	}

	/** Starts the time limit. */
	start(onExpired: () => void): void {
		this.timer = setTimeout(
			onExpired,
			Math.max(0, this.remainingMilliseconds() + deadlineGraceMilliseconds),
		);
	}

	/** Passes on the head of the first stream. The head of a continuation is dropped. */
	startStream(answer: ResponseMetadata): void {
		this.splitter = new EventStreamSplitter();
		if (!this.options.response.hasStarted) {
			this.options.response.startStream(
				answer.status,
				answer.forwardedHeaders,
				answer.isFramed,
			);
		}
	}

	/** Passes on whole events. Returns false when an event does not follow the last one. */
	forwardStreamData(chunk: Buffer): boolean {
		for (const event of this.splitter.push(chunk)) {
			if (event.id !== undefined) {
				if (this.lastEventId !== undefined && event.id <= this.lastEventId) {
					return false;
				}

				this.lastEventId = event.id;
			}

			this.eventCount++;
			this.options.response.write(event.bytes);
		}

		this.noteGap();
		return true;
	}

	/** Passes on the end of the stream. Returns false when it ends within an event. */
	endStream(): boolean {
		if (this.splitter.remainder.length > 0) {
			return false;
		}

		this.options.response.end();
		this.finish('complete');
		return true;
	}

	/** Keeps a target's failure, which is the answer when no other target gives a better one. */
	recordFailureResponse(facts: ResponseMetadata, body: Buffer): void {
		this.failureAnswer = {facts, body};
	}

	/** Passes on a whole answer of a target. */
	forwardResponse(facts: ResponseMetadata, body: Buffer): void {
		if (!this.isRepeatable && notRunStatuses.has(facts.status)) {
			this.fail('the target answered a status that promises too much');
			return;
		}

		if (facts.isFramed) {
			this.options.response.send(facts.status, facts.forwardedHeaders, body);
		} else {
			this.options.response.sendUnframed(
				facts.status,
				facts.forwardedHeaders,
				body,
			);
		}

		this.finish(`status ${facts.status}`);
	}

	/** Answers that the request was not run and never will be. */
	refuse(reason: string, retryAfterMilliseconds: number): void {
		if (this.executions > 0) {
			this.fail(reason);
			return;
		}

		this.answerOwn(503, reason, retryAfterMilliseconds);
	}

	/** Answers that the outcome is unknown, or with the failure that a target gave. */
	fail(reason: string, status: 502 | 504 = 502): void {
		const {response: answer} = this.options;
		if (answer.hasStarted) {
			answer.abort();
			this.finish(`broken: ${reason}`);
			return;
		}

		const kept = this.failureAnswer;
		this.failureAnswer = undefined;
		if (kept && !notRunStatuses.has(kept.facts.status)) {
			this.forwardResponse(kept.facts, kept.body);
			return;
		}

		this.answerOwn(status, reason, undefined);
	}

	/** The time limit has passed. */
	expire(): void {
		if (this.executions > 0) {
			this.fail('the time limit has passed', 504);
			return;
		}

		this.answerOwn(503, 'the time limit has passed', 0);
	}

	/** The caller is gone. */
	handleCallerDisconnect(): void {
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
		const {response: answer, codec, metadata: facts} = this.options;
		const headers = codec.encodeLocalResponse(facts.id, retryAfterMilliseconds);
		answer.send(
			status,
			[...Object.entries(headers).flat(), 'Content-Type', 'text/plain'],
			'',
		);
		this.finish(`own ${status}: ${reason}`);
	}

	private finish(outcome: string): void {
		if (this.hasFinished) {
			return;
		}

		this.hasFinished = true;
		clearTimeout(this.timer);
		const {
			events,
			clock,
			arrivedAt,
			route,
			metadata: facts,
			documentVersion,
		} = this.options;
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
			runs: this.executions,
			events: this.eventCount,
			largestGapMilliseconds: Math.round(this.largestGapMilliseconds),
			continuations: this.continuations,
			documentVersion,
		});
		this.options.onFinished(this, outcome);
	}
}
