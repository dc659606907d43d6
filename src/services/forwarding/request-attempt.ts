import {type SoftwareVersion} from '../../contracts/ids.js';
import {type ResponseMetadata} from '../../contracts/request-codec.js';
import {EventStreamSplitter} from '../../core/event-stream-splitter.js';
import {type Attempt} from '../dispatch/dispatcher.js';
import {AttemptListener, type AttemptFailure} from './forward-attempt.js';
import {type ForwardDispatch} from './forward-dispatch.js';
import {type ForwardedRequest} from './forwarded-request.js';

/** Forwards the events of one attempt to its request and the dispatcher. */
export class RequestAttempt extends AttemptListener {
	private readonly splitter = new EventStreamSplitter();
	private events = 0;
	private isFramed = true;

	constructor(
		private readonly poolDispatch: ForwardDispatch,
		private readonly request: ForwardedRequest,
		private readonly attempt: Attempt,
		private readonly softwareVersion: SoftwareVersion | undefined,
	) {
		super();
	}

	onStreamStart(response: ResponseMetadata): void {
		this.isFramed = response.isFramed;
		if (!this.request.startStream(response)) {
			this.abortStream(
				`a body of the type ${response.contentType} received instead of the rest of a stream`,
			);
		}
	}

	onStreamData(chunk: Buffer): boolean {
		const events = this.splitter.push(chunk);
		if (this.splitter.isOversized) {
			this.abortStream('an event exceeds the size limit');
			return false;
		}

		if (events.some(({id}) => id !== undefined)) {
			this.poolDispatch.cancelOtherAttempts(this.attempt);
		} else if (this.poolDispatch.hasOtherAttempts(this.attempt)) {
			// Comments and empty events do not decide which of the targets goes on.
			return false;
		}

		const before = this.request.eventCount;
		const forwarded = this.request.forwardEvents(events);
		if (forwarded.isErr()) {
			this.abortStream(forwarded.error.message);
			return false;
		}

		this.events += this.request.eventCount - before;
		if (this.request.eventCount > 0 && !this.request.softwareVersion) {
			this.request.softwareVersion = this.softwareVersion;
			this.poolDispatch.recordStreamStart(this.request);
		}

		if (this.events > 0) {
			this.poolDispatch.dispatcher.post({
				kind: 'progressed',
				tokens: this.events,
				...this.attempt,
			});
		}

		return forwarded.value;
	}

	waitForReceiver(callback: () => void): boolean {
		return this.request.waitForCaller(callback);
	}

	onStreamEnd(): void {
		if (this.splitter.remainder.length > 0) {
			this.abortStream('the stream ended in the middle of an event');
			return;
		}

		this.poolDispatch.cancelOtherAttempts(this.attempt);
		this.request.endStream();
		this.recordEnd(this.isFramed && this.events > 0);

		this.poolDispatch.endAttempt(this.attempt, {
			kind: 'completed',
			tokens: this.events,
		});
	}

	onResponse(response: ResponseMetadata, body: Buffer): void {
		if (this.request.hasStarted) {
			this.onFailure({
				kind: 'lost',
				reason: `status ${response.status} received instead of the rest of a stream`,
			});
			return;
		}

		this.poolDispatch.recordHoldBack(this.attempt.target, response);
		const isFailure = response.status >= 500;
		if (isFailure) {
			this.request.recordFailureResponse(response, body);
			this.poolDispatch.endAttempt(this.attempt, {
				kind: 'lost',
				execution: 'unknown',
			});
			return;
		}

		if (response.status < 300) {
			this.recordEnd(response.isFramed);
		}

		this.poolDispatch.cancelOtherAttempts(this.attempt);
		this.request.forwardResponse(response, body);
		this.poolDispatch.endAttempt(this.attempt, {kind: 'completed', tokens: 1});
	}

	onStall(reason: string): number | undefined {
		return this.poolDispatch.handleStall(this.request, this.attempt, reason);
	}

	onFailure(failure: AttemptFailure): void {
		this.poolDispatch.recordFailure(this.request, this.attempt, failure);
		if (failure.kind !== 'lost') {
			this.request.executions--;
		}

		if (failure.kind === 'unreached' || failure.kind === 'expired') {
			this.poolDispatch.endAttempt(this.attempt, {kind: 'unreached'});
			return;
		}

		if (failure.kind === 'refused') {
			this.poolDispatch.endAttempt(this.attempt, {
				kind: 'refused',
				reason: failure.response.isMisdirected ? 'not-resident' : 'busy',
			});
			return;
		}

		if (!this.poolDispatch.mayHaveCrashedTarget(this.request)) {
			this.repeat();
			return;
		}

		void this.poolDispatch.probe(this.attempt.target).then(() => {
			this.repeat();
		});
	}

	/** Sends the request, or the rest of its stream, to another target if it may be sent again. */
	private repeat(): void {
		if (
			this.request.hasStarted &&
			!this.poolDispatch.hasOtherAttempts(this.attempt)
		) {
			this.poolDispatch.continueStream(this.request, this.attempt);
			return;
		}

		this.poolDispatch.endAttempt(this.attempt, {
			kind: 'lost',
			execution: 'unknown',
			mayRepeat: this.poolDispatch.mayRepeat(this.request),
		});
	}

	/** Records the end of an answer. One that only the end of its connection marks may have been cut short by the end of its target. */
	private recordEnd(isComplete: boolean): void {
		if (isComplete) {
			this.poolDispatch.recordAnswer(this.request);
			return;
		}

		if (this.poolDispatch.mayHaveCrashedTarget(this.request)) {
			this.poolDispatch.recordLostRequest(this.request, this.attempt.target);
			void this.poolDispatch.probe(this.attempt.target);
		}
	}

	private abortStream(reason: string): void {
		this.poolDispatch.cancelAttempt(this.attempt);
		this.onFailure({kind: 'lost', reason});
	}
}
