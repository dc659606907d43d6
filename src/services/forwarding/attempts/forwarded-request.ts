import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {maximumTimerMilliseconds} from '../../../base/common/timer-limits.js';
import {type MissingArtifact} from '../../../contracts/artifact.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type RouteRule} from '../../../contracts/forwarding-document.js';
import {
	type CustomerName,
	type Fingerprint,
	type RequestId,
	type SoftwareVersion,
	type TargetId,
} from '../../../contracts/ids.js';
import {
	type ResponseMetadata,
	type RequestCodec,
	type RequestMetadata,
} from '../../../contracts/request-codec.js';
import {type ObservedRequest} from '../../../core/crashes/crash-correlation.js';
import {type QuotaCharge} from '../../../core/quotas/quota-charge.js';
import {type StreamEvent} from '../../../core/streams/event-stream-splitter.js';
import {type CallerResponse} from './caller-response.js';

/** Options of a forwarded request. */
export type ForwardedRequestOptions = {
	/** Id of the caller's request and a number of this process. Unique on this host, unlike the id alone, which callers may reuse. */
	readonly key: RequestId;
	readonly metadata: RequestMetadata;
	readonly route: RouteRule;
	readonly method: string;
	/** Path and query as received from the caller. */
	readonly requestTarget: string;
	/** Alternating names and values as received from the caller. */
	readonly rawHeaders: readonly string[];
	readonly body: Buffer;
	/** Customer whose key the request carried, undefined if its route needs none. */
	readonly customer: CustomerName | undefined;
	readonly fingerprint: Fingerprint;
	readonly response: CallerResponse;
	readonly documentVersion: number;
	/** Name of the host that forwarded the request to this one, undefined for requests of callers. */
	readonly forwardedBy: string | undefined;
	/** True when the connection on which the answer is expected has ended. */
	readonly hasCallerLeft: () => boolean;
	/** Monotonic time at which the last byte of the request was received. */
	readonly arrivedAt: number;
	readonly codec: RequestCodec;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Returns what no target offers of what the request needs, for the log. */
	readonly findMissing?: () => MissingArtifact | undefined;
	/** Called once when the request has its final response or its caller has disconnected. */
	readonly onFinished: (request: ForwardedRequest, outcome: string) => void;
};

/** A target sent data that is not a valid continuation of its stream. */
export class StreamDataError extends Error {
	override readonly name = 'StreamDataError';
}

/** Why a stream whose events do not follow the last one is invalid. */
export const repeatedEventReason =
	'the id of an event is not greater than that of the last one';

/** Statuses that tell a caller that its request was not executed. A response of a target with one of these statuses but without that statement is forwarded neither for a request that is not repeatable nor as a recorded failure. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Time from sending a request until the first event or the response of a target that is not overloaded. */
const usualStartMilliseconds = 60;
/** Callers abandon a stream without an event after two seconds or four times the objective. Work that has not started well before that is refused, so that callers can retry in time. */
const minimumStartTimeoutMilliseconds = 1300;
/** The start timeout as a multiple of the latency objective. */
const startTimeoutObjectiveFactor = 2.6;
/** Parts of a prompt in a log line. Longer prompts are cut, because the parts that requests share come first. */
const maximumLoggedParts = 8;
/** Delay after which a quarantined request may come back: by then a trial may have cleared a harmless part of its prompt. */
export const quarantineRetryMilliseconds = 10_000;
/** Share of the objective after which a request that has not started is aged. */
const agedObjectiveShare = 0.5;
/** Time that a caller waits at most beyond the deadline, so that the response that a target sends at its own deadline arrives first. */
export const deadlineGraceMilliseconds = 40;

/** The state of one request between its caller and the targets to which it is sent. */
export class ForwardedRequest {
	readonly metadata: RequestMetadata;
	readonly route: RouteRule;
	/** Id of the last event forwarded to the caller, or of the event after which the caller asked to continue. */
	lastEventId: number | undefined;
	/** Attempts that may have been executed, including those in flight. */
	executions = 0;
	/** Units that the request takes of its customer's quota, undefined without one. */
	quotaCharge: QuotaCharge | undefined;
	/** Targets at which a stream was interrupted. */
	readonly brokenStreamTargets: TargetId[] = [];
	/** Targets that refused the request. */
	readonly refusedBy = new Set<TargetId>();
	/** Number of events forwarded. */
	eventCount = 0;
	/** Longest gap between two chunks of the stream. */
	largestGapMilliseconds = 0;
	/** True when the request finds out whether its quarantined fingerprints still crash targets. */
	isQuarantineTrial = false;
	/** Software version of the targets at which the stream may go on, undefined before its first event. */
	softwareVersion: SoftwareVersion | undefined;
	/** Number of times that the rest of a stream was requested from another target. */
	continuations = 0;
	/** Time from arrival until the first attempt was sent, undefined before that. */
	waitedMilliseconds: number | undefined;
	/** Address of the host to which the request was forwarded last, undefined while this host serves it itself. */
	peer: string | undefined;
	private contentType: string | undefined;
	private firstChunkAt: number | undefined;
	private lastChunkAt: number | undefined;
	private failureResponse:
		{metadata: ResponseMetadata; body: Buffer} | undefined;

	private missing: MissingArtifact | undefined;
	private timer: NodeJS.Timeout | undefined;
	private hasFinished = false;

	constructor(readonly options: ForwardedRequestOptions) {
		this.metadata = options.metadata;
		this.route = options.route;
		this.lastEventId = options.metadata.lastEventId;
	}

	/** What the crash correlation needs to know of the request. */
	get observed(): ObservedRequest {
		const {metadata, options} = this;
		return {
			id: metadata.id,
			fingerprint: options.fingerprint,
			promptParts: metadata.promptParts,
		};
	}

	/** Key that is unique on this host. */
	get key(): RequestId {
		return this.options.key;
	}

	/** True when the request has its final response or its caller has disconnected. */
	get isFinished(): boolean {
		return this.hasFinished;
	}

	/** True when the head of a response was forwarded. */
	get hasStarted(): boolean {
		return this.options.response.hasStarted;
	}

	/** True when the caller has received events of the stream before. */
	get isTakenUpAgain(): boolean {
		return (
			this.route.kind === 'stream' && this.metadata.lastEventId !== undefined
		);
	}

	/** True when the request may be executed more than once. */
	get isRepeatable(): boolean {
		const {kind, isResumable} = this.route;
		return kind === 'idempotent' || (kind === 'stream' && isResumable);
	}

	/** Time since the request arrived. */
	get ageMilliseconds(): number {
		return this.options.clock.monotonic() - this.options.arrivedAt;
	}

	/** Monotonic time of the first events, undefined before them. */
	get firstEventAt(): number | undefined {
		return this.firstChunkAt;
	}

	/** Monotonic time of the last events, undefined before the first ones. */
	get lastEventAt(): number | undefined {
		return this.lastChunkAt;
	}

	/** Monotonic time at which the final response is due. */
	get deadline(): number {
		const {arrivedAt, metadata, route} = this.options;
		return (
			arrivedAt +
			Math.min(
				route.timeoutMilliseconds,
				metadata.remainingMilliseconds ?? Number.POSITIVE_INFINITY,
			)
		);
	}

	/** Time left until the deadline. */
	remainingMilliseconds(): number {
		return this.deadline - this.options.clock.monotonic();
	}

	/** True when half of the objective has passed without a start, so that work of any urgency should start now. */
	isAged(): boolean {
		const {arrivedAt, clock} = this.options;
		return (
			clock.monotonic() - arrivedAt >=
			this.route.latencyObjectiveMilliseconds * agedObjectiveShare
		);
	}

	/** Time left in which an attempt must start at a target to meet the latency objective. */
	startObjectiveMilliseconds(): number {
		const {arrivedAt, clock} = this.options;
		const startDue = arrivedAt + this.route.latencyObjectiveMilliseconds;
		return startDue - usualStartMilliseconds - clock.monotonic();
	}

	/** Time left for which the caller waits for the first byte. A continued stream has started, so only its deadline counts. */
	startTimeoutMilliseconds(): number {
		const {arrivedAt, clock, response} = this.options;
		if (response.hasStarted) {
			return this.remainingMilliseconds();
		}

		const startTimeout = Math.max(
			minimumStartTimeoutMilliseconds,
			startTimeoutObjectiveFactor * this.route.latencyObjectiveMilliseconds,
		);
		return Math.min(
			this.remainingMilliseconds(),
			arrivedAt + startTimeout - clock.monotonic(),
		);
	}

	/** Counts an attempt that this host sends to a target. */
	recordSent(): void {
		this.executions++;
		this.quotaCharge?.recordSent();
	}

	/** Withdraws an attempt that has not run. */
	recordNotRun(): void {
		this.executions--;
		this.quotaCharge?.recordNotRun();
	}

	/** Starts the timer of the deadline. */
	start(onExpired: () => void): void {
		this.timer = setTimeout(
			onExpired,
			Math.min(
				maximumTimerMilliseconds,
				Math.max(0, this.remainingMilliseconds() + deadlineGraceMilliseconds),
			),
		);
	}

	/** Forwards the head of the first stream. The head of a continuation is dropped. Returns false when the body is no continuation of the stream. */
	startStream(response: ResponseMetadata): boolean {
		if (this.options.response.hasStarted) {
			return response.contentType === this.contentType;
		}

		this.contentType = response.contentType;
		this.options.response.startStream(
			response.status,
			response.forwardedHeaders,
			response.isFramed,
		);
		return true;
	}

	/** True when an event with the id may follow the last one. */
	isNextEvent(id: number): boolean {
		return this.lastEventId === undefined || id > this.lastEventId;
	}

	/** Forwards events. Returns whether the stream has made progress, or why it is invalid. */
	forwardEvents(
		events: readonly StreamEvent[],
	): Result<boolean, StreamDataError> {
		let hasProgress = false;
		for (const event of events) {
			if (event.id !== undefined) {
				if (!this.isNextEvent(event.id)) {
					return err(new StreamDataError(repeatedEventReason));
				}

				this.lastEventId = event.id;
				// Comments and empty events keep a connection busy, but the caller gets nothing from them.
				hasProgress = true;
			}

			this.eventCount++;
			this.options.response.write(event.bytes);
		}

		this.recordEventGap();
		return ok(hasProgress);
	}

	/** Calls back once the caller has read what was forwarded. Returns false, without calling back, when little is waiting. */
	waitForCaller(callback: () => void): boolean {
		return this.options.response.waitForDrain(callback);
	}

	/** Forwards the end of the stream. */
	endStream(): void {
		this.options.response.end();
		this.finish('complete');
	}

	/** Records the failure response of a target, which is forwarded when no other target succeeds. */
	recordFailureResponse(metadata: ResponseMetadata, body: Buffer): void {
		this.failureResponse = {metadata, body};
	}

	/** Forwards a complete response of a target. */
	forwardResponse(metadata: ResponseMetadata, body: Buffer): void {
		if (!this.isRepeatable && notRunStatuses.has(metadata.status)) {
			this.fail(
				'the target sent a status for requests that were not executed without stating that it did not execute this one',
			);
			return;
		}

		if (metadata.isFramed) {
			this.options.response.send(
				metadata.status,
				metadata.forwardedHeaders,
				body,
			);
		} else {
			this.options.response.sendUnframed(
				metadata.status,
				metadata.forwardedHeaders,
				body,
			);
		}

		this.finish(`status ${metadata.status}`);
	}

	/** Responds that the request was not executed and will not be. Fails the request if it may have been executed. */
	refuse(reason: string, retryAfterMilliseconds: number | undefined): void {
		if (this.executions > 0) {
			this.fail(reason);
			return;
		}

		this.sendLocalResponse(503, reason, retryAfterMilliseconds);
	}

	/** Responds that the request was not executed, because its customer exceeds its quota. */
	refuseForQuota(reason: string, retryAfterMilliseconds: number): void {
		this.sendLocalResponse(429, reason, retryAfterMilliseconds);
	}

	/** Responds that requests like this one crash targets. */
	refuseQuarantined(): void {
		this.refuse(
			'the request is quarantined because it crashes targets',
			quarantineRetryMilliseconds,
		);
	}

	/** Responds that the outcome is unknown, or forwards the recorded failure response of a target. A started stream is aborted. */
	fail(reason: string, status: 502 | 504 = 502): void {
		const {response} = this.options;
		if (response.hasStarted) {
			response.abort();
			this.finish(`broken: ${reason}`);
			return;
		}

		const recorded = this.failureResponse;
		this.failureResponse = undefined;
		if (recorded && !notRunStatuses.has(recorded.metadata.status)) {
			this.forwardResponse(recorded.metadata, recorded.body);
			return;
		}

		this.sendLocalResponse(status, reason, undefined);
	}

	/** Ends the request because its deadline has passed. */
	expire(): void {
		if (this.executions > 0) {
			this.fail('the deadline has passed', 504);
			return;
		}

		this.sendLocalResponse(503, 'the deadline has passed', 0);
	}

	/** Ends the request because its caller has disconnected. */
	handleCallerDisconnect(): void {
		this.finish('caller left');
	}

	private recordEventGap(): void {
		const now = this.options.clock.monotonic();
		if (this.lastChunkAt !== undefined) {
			this.largestGapMilliseconds = Math.max(
				this.largestGapMilliseconds,
				now - this.lastChunkAt,
			);
		}

		this.firstChunkAt ??= now;
		this.lastChunkAt = now;
	}

	private sendLocalResponse(
		status: number,
		reason: string,
		retryAfterMilliseconds: number | undefined,
	): void {
		const {response, codec, metadata} = this.options;
		const headers = codec.encodeLocalResponse(
			metadata.id,
			retryAfterMilliseconds,
		);
		this.missing = this.options.findMissing?.();
		response.sendOwn({
			status,
			headers: [
				...Object.entries(headers).flat(),
				'Content-Type',
				'text/plain',
			],
			execution: status === 503 || status === 429 ? 'not-run' : 'unknown',
			reason,
			retryAfterMilliseconds,
		});
		this.finish(`own ${status}: ${reason}`);
	}

	private finish(outcome: string): void {
		if (this.hasFinished) {
			return;
		}

		this.hasFinished = true;
		this.quotaCharge?.release();
		clearTimeout(this.timer);
		const {events, clock, arrivedAt, route, metadata, documentVersion} =
			this.options;
		events.record(forwardingEvents.requestAnswered, {
			request: metadata.id,
			route: route.name,
			model: metadata.model,
			adapter: metadata.adapter,
			missing: this.missing,
			promptParts: metadata.promptParts.slice(0, maximumLoggedParts),
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
			forwardedTo: this.peer,
			forwardedBy: this.options.forwardedBy,
		});
		this.options.onFinished(this, outcome);
	}
}
