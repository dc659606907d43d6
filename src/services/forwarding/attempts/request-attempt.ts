import {type ListedTarget} from '../../../contracts/listed-target.js';
import {type ResponseMetadata} from '../../../contracts/request-codec.js';
import {
	EventStreamSplitter,
	type StreamEvent,
} from '../../../core/streams/event-stream-splitter.js';
import {type Attempt} from '../../dispatch/dispatch-contracts.js';
import {versionOf} from '../targets/target-registry.js';
import {type AttemptOwner} from './attempt-owner.js';
import {AttemptListener, type AttemptFailure} from './forward-attempt.js';
import {
	type ForwardedRequest,
	repeatedEventReason,
} from './forwarded-request.js';

/** Time for which two targets may work on a stream after the second has begun to respond. */
const maximumOverlapMilliseconds = 300;

/** Forwards the events of one attempt to its request and the dispatcher. */
export class RequestAttempt extends AttemptListener {
	private readonly splitter = new EventStreamSplitter();
	/** Events that arrived while another attempt was open and that do not decide which of them goes on. */
	private heldEvents: StreamEvent[] = [];
	private overlapTimer: NodeJS.Timeout | undefined;
	/** Attempt numbers begin anew with each continuation. */
	private readonly generation: number;
	private events = 0;
	private isFramed = true;

	constructor(
		private readonly owner: AttemptOwner,
		private readonly request: ForwardedRequest,
		private readonly attempt: Attempt,
		/** The entry of the target when the attempt was sent, undefined when it was gone. */
		private readonly listed: ListedTarget | undefined,
		private readonly isReplacement: boolean,
	) {
		super();
		this.generation = request.continuations;
	}

	onStreamStart(response: ResponseMetadata): void {
		this.isFramed = response.isFramed;
		if (!this.request.startStream(response)) {
			this.abortStream(
				`a body of the type ${response.contentType} received instead of the rest of a stream`,
			);
			return;
		}

		if (this.owner.hasOtherAttempts(this.attempt)) {
			this.overlapTimer = setTimeout(() => {
				if (this.isOpen()) {
					this.owner.giveUpOtherAttempts(this.attempt);
				}
			}, maximumOverlapMilliseconds);
		}
	}

	onStreamData(chunk: Buffer): boolean {
		const events = [...this.heldEvents, ...this.splitter.push(chunk)];
		this.heldEvents = [];
		if (this.splitter.isOversized) {
			this.abortStream('an event exceeds the size limit');
			return false;
		}

		const firstId = events.find(({id}) => id !== undefined)?.id;
		if (this.owner.hasOtherAttempts(this.attempt)) {
			if (firstId === undefined) {
				this.heldEvents = events;
				return false;
			}

			if (!this.request.isNextEvent(firstId)) {
				this.abortStream(repeatedEventReason);
				return false;
			}

			this.owner.cancelOtherAttempts(this.attempt);
		}

		const before = this.request.eventCount;
		const forwarded = this.request.forwardEvents(events);
		if (forwarded.isErr()) {
			this.abortStream(forwarded.error.message);
			return false;
		}

		this.events += this.request.eventCount - before;
		if (this.request.eventCount > 0 && !this.request.softwareVersion) {
			this.request.softwareVersion = this.listed && versionOf(this.listed);
			this.owner.recordStreamStart(this.request);
		}

		if (forwarded.value) {
			this.owner.recordProgress(this.attempt, this.events);
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

		if (
			!this.isFramed &&
			this.events === 0 &&
			this.owner.hasOtherAttempts(this.attempt)
		) {
			this.abortStream('the connection ended before the first event');
			return;
		}

		if (this.isFramed) {
			this.completeStream();
			return;
		}

		void this.endUnlessTargetEnded(() => {
			this.completeStream();
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

		this.owner.recordHoldBack(this.attempt.target, response);
		const isFailure = response.status >= 500;
		const isSuccess = response.status < 300;
		if (
			isFailure ||
			(!isSuccess && this.owner.hasOtherAttempts(this.attempt))
		) {
			this.request.recordFailureResponse(response, body);
			this.owner.endAttempt(this.attempt, {
				kind: 'lost',
				execution: 'unknown',
			});
			return;
		}

		if (!isSuccess || response.isFramed) {
			this.completeResponse(response, body);
			return;
		}

		void this.endUnlessTargetEnded(() => {
			this.completeResponse(response, body);
		});
	}

	onStall(reason: string): number | undefined {
		return this.owner.handleStall(this.request, this.attempt, reason);
	}

	onRecovery(): void {
		this.owner.handleRecovery(this.request, this.attempt);
	}

	onFailure(failure: AttemptFailure): void {
		this.stopOverlapTimer();
		this.owner.recordFailure(this.request, this.attempt, failure);
		if (failure.kind !== 'lost') {
			this.request.recordNotRun();
		}

		if (
			failure.kind !== 'lost' &&
			this.isReplacement &&
			this.request.hasStarted &&
			!this.owner.hasOtherAttempts(this.attempt)
		) {
			// The attempt that it was to replace has ended meanwhile.
			this.owner.continueStream(this.request, this.attempt);
			return;
		}

		if (failure.kind === 'unreached' || failure.kind === 'expired') {
			this.owner.endAttempt(this.attempt, {kind: 'unreached'});
			return;
		}

		if (failure.kind === 'refused') {
			this.owner.endAttempt(this.attempt, {
				kind: 'refused',
				reason: failure.response.isMisdirected ? 'not-resident' : 'busy',
			});
			return;
		}

		if (!this.owner.mayHaveCrashedTarget(this.request)) {
			this.repeat();
			return;
		}

		void this.owner.probe(this.attempt.target).then(() => {
			this.repeat();
		});
	}

	/** Sends the request, or the rest of its stream, to another target if it may be sent again. */
	private repeat(): void {
		if (this.request.continuations !== this.generation) {
			return;
		}

		if (this.request.hasStarted && !this.owner.hasOtherAttempts(this.attempt)) {
			this.owner.continueStream(this.request, this.attempt);
			return;
		}

		this.owner.endAttempt(this.attempt, {
			kind: 'lost',
			execution: 'unknown',
			mayRepeat: this.owner.mayRepeat(this.request),
		});
	}

	/**
	 * Ends an answer that only the end of its connection marks. The kernel ends the connections of a killed process in
	 * order, so such an answer counts as whole only if the process of its target still runs.
	 */
	private async endUnlessTargetEnded(complete: () => void): Promise<void> {
		const hasEnded =
			this.listed !== undefined &&
			(await this.owner.hasTargetEnded(this.listed));
		if (!this.isOpen()) {
			return;
		}

		if (hasEnded) {
			this.owner.cancelAttempt(this.attempt);
			this.onFailure({
				kind: 'lost',
				reason: 'the process of the target ended with the connection',
			});
			return;
		}

		complete();
	}

	private completeStream(): void {
		this.stopOverlapTimer();
		this.request.forwardEvents(this.heldEvents);
		this.owner.cancelOtherAttempts(this.attempt);
		this.request.endStream();
		this.recordEnd(this.isFramed && this.events > 0);
		this.owner.endAttempt(this.attempt, {
			kind: 'completed',
			tokens: this.events,
		});
	}

	private completeResponse(response: ResponseMetadata, body: Buffer): void {
		if (response.status < 300) {
			this.recordEnd(response.isFramed);
		}

		this.owner.cancelOtherAttempts(this.attempt);
		this.request.forwardResponse(response, body);
		this.owner.endAttempt(this.attempt, {kind: 'completed', tokens: 1});
	}

	/** Records the end of an answer. One that only the end of its connection marks may have been cut short by the end of its target. */
	private recordEnd(isComplete: boolean): void {
		if (isComplete) {
			this.owner.recordAnswer(this.request);
			return;
		}

		if (this.owner.mayHaveCrashedTarget(this.request)) {
			this.owner.recordLostRequest(this.request, this.attempt.target);
			void this.owner.probe(this.attempt.target);
		}
	}

	/** False once the attempt was cancelled, or the request was submitted anew. */
	private isOpen(): boolean {
		return (
			this.request.continuations === this.generation &&
			this.owner.hasAttempt(this.attempt)
		);
	}

	private stopOverlapTimer(): void {
		clearTimeout(this.overlapTimer);
	}

	private abortStream(reason: string): void {
		this.owner.cancelAttempt(this.attempt);
		this.onFailure({kind: 'lost', reason});
	}
}
