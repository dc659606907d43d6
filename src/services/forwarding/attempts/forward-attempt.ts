import {type Dispatcher} from 'undici';
import {BodyBuffer} from '../../../base/node/body-buffer.js';
import {ExpiryTimer} from '../../../base/node/expiry-timer.js';
import {type RequestId, type TargetId} from '../../../contracts/ids.js';
import {
	type ResponseMetadata,
	type RequestCodec,
} from '../../../contracts/request-codec.js';
import {
	type ByteBudget,
	type HeldBody,
} from '../../../core/limits/byte-budget.js';
import {type TargetConnections} from '../targets/target-connections.js';

/** Why an attempt ended without a usable response. */
export type AttemptFailure =
	/** No byte of the request was sent. */
	| {
			readonly kind: 'unreached';
			readonly reason: string;
			/** True when nothing listens at the address of the target, which means that its process has ended. */
			readonly isConnectionRefused: boolean;
	  }
	/** The request was not sent, because its response would have come too late or its target wants nothing from this host. */
	| {readonly kind: 'expired'; readonly reason: string}
	/** The target stated that it did not execute the request. */
	| {readonly kind: 'refused'; readonly response: ResponseMetadata}
	/** The connection failed, timed out, or carried something other than a response to this request. */
	| {readonly kind: 'lost'; readonly reason: string};

/** Receives the events of an attempt. */
export abstract class AttemptListener {
	/** The head of a stream was received. Its data follows. */
	abstract onStreamStart(response: ResponseMetadata): void;

	/** Data of the stream was received. Returns true when it contains progress, such as a complete event. */
	abstract onStreamData(chunk: Buffer): boolean;

	/** Calls back once the receiver of the stream is ready for more data. Returns false, without calling back, when it already is. */
	abstract waitForReceiver(callback: () => void): boolean;

	/** The stream ended with the framing of the target. */
	abstract onStreamEnd(): void;

	/** A complete response that is not a stream was received. */
	abstract onResponse(response: ResponseMetadata, body: Buffer): void;

	/**
	 * The target has made no progress within a timeout. A sound target may fall silent and go on, so the attempt stays
	 * open. Returns the time after which it counts as lost, or undefined when it is to be kept.
	 */
	abstract onStall(reason: string): number | undefined;

	/** Data was received after a stall. */
	abstract onRecovery(): void;

	/** The attempt ended without a response to forward. */
	abstract onFailure(failure: AttemptFailure): void;
}

/** Options of an attempt. */
export type ForwardAttemptOptions = {
	readonly request: RequestId;
	readonly target: TargetId;
	readonly codec: RequestCodec;
	readonly listener: AttemptListener;
	/** Time until the first data after which the attempt counts as stalled. No limit if absent. */
	readonly startTimeoutMilliseconds?: number;
	/** Inactivity after the first data from which the attempt counts as stalled. No limit if absent. */
	readonly inactivityTimeoutMilliseconds?: number;
	/** Called with the metadata of each response head, which may contain the load of the target. */
	readonly onResponseMetadata: (response: ResponseMetadata) => void;
	/** False once the response would come too late for its caller, or while the target wants nothing from this host. */
	readonly isNeeded: () => boolean;
	/** Limit for the body of a response that is not a stream. */
	readonly maximumBodyBytes: number;
	/** Limit for the bodies of all responses that are held at once. No limit if absent. */
	readonly budget?: ByteBudget | undefined;
	/** True when a successful response is a stream of events. */
	readonly isStream: boolean;
	/** The connections over which the request is sent. */
	readonly connections: Pick<TargetConnections, 'isConnectionFailing'>;
};

/** Largest status code of HTTP. The HTTP client rejects statuses without three digits, and those below 100. */
export const maximumStatus = 599;

/** Sends one request over one connection to a target. It reports one outcome and ignores everything after it. */
export class ForwardAttempt implements Dispatcher.DispatchHandler {
	private controller: Dispatcher.DispatchController | undefined;
	private wasSent = false;
	private isDone = false;
	private isStreaming = false;
	private isStalled = false;
	private response: ResponseMetadata | undefined;
	private readonly body = new BodyBuffer();
	/** The part of the budget that the body of the answer has taken. */
	private readonly held: HeldBody | undefined;
	private readonly inactivityTimer: ExpiryTimer | undefined;

	constructor(private readonly options: ForwardAttemptOptions) {
		this.held = options.budget?.hold();
		this.inactivityTimer =
			options.inactivityTimeoutMilliseconds === undefined
				? undefined
				: new ExpiryTimer(() => {
						this.handleInactivity();
					});
	}

	/** The target to which the request is sent. */
	get target(): TargetId {
		return this.options.target;
	}

	/** True once the head of a response to the request was received. */
	get hasResponse(): boolean {
		return this.response !== undefined;
	}

	/** True once a byte of the request may have been sent. */
	get isSent(): boolean {
		return this.wasSent;
	}

	/** True once the attempt has reported its outcome or was cancelled. */
	get isOver(): boolean {
		return this.isDone;
	}

	/** True while the target makes no progress. */
	get hasStalled(): boolean {
		return this.isStalled && !this.isDone;
	}

	/** Cancels the attempt. The connection is closed, which also stops the execution at the target. */
	cancel(): void {
		if (this.isDone) {
			return;
		}

		this.finish();
		this.controller?.abort(new Error('the response is no longer needed'));
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.isDone) {
			controller.abort(new Error('the response is no longer needed'));
			return;
		}

		// A timer that is due may not have run yet, if the event loop was blocked or the connection opened late.
		const isNeeded = this.options.isNeeded();
		if (this.isDone) {
			return;
		}

		if (!isNeeded) {
			this.finish();
			controller.abort(new Error('the request is not sent any more'));
			this.options.listener.onFailure({
				kind: 'expired',
				reason:
					'the deadline passed, or the target turned this host away, before the request was sent',
			});
			return;
		}

		this.wasSent = true;
		const {startTimeoutMilliseconds} = this.options;
		if (startTimeoutMilliseconds !== undefined) {
			this.inactivityTimer?.start(startTimeoutMilliseconds);
		}
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		if (this.isDone || status < 200) {
			return;
		}

		if (status > maximumStatus) {
			// Nothing that comes with such a status can be relied on, not even the statement that the request has not run.
			this.fail(`the status ${status} is none of HTTP`, true);
			return;
		}

		const {codec, request, listener, onResponseMetadata, isStream, target} =
			this.options;
		const response = codec.decodeResponse(status, headers);
		this.response = response;
		onResponseMetadata(response);
		const isSuccess = status >= 200 && status < 300;
		// A failure without an id can be passed on, but neither proves that this request was not run nor answers it.
		if (
			response.requestId !== request &&
			(response.requestId !== undefined || isSuccess || response.isNotRun)
		) {
			// A late response to an earlier request on this connection. The response to this request would follow it and cannot be used.
			this.fail('the response belongs to another request', true);
			return;
		}

		if (
			response.respondingTarget !== undefined &&
			response.respondingTarget !== target
		) {
			this.finish();
			listener.onFailure({
				kind: 'refused',
				response: {...response, isNotRun: true},
			});
			return;
		}

		if (isSuccess && !response.isSigned) {
			this.fail('the response is not signed', true);
			return;
		}

		this.restartInactivityTimer();
		if (isSuccess && isStream) {
			this.isStreaming = true;
			listener.onStreamStart(response);
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		if (this.isDone) {
			return;
		}

		if (this.isStreaming) {
			this.forwardStreamData(controller, chunk);
			return;
		}

		this.restartInactivityTimer();
		if (this.body.length + chunk.length > this.options.maximumBodyBytes) {
			this.fail('the response body exceeds the size limit', true);
			return;
		}

		if (this.held?.tryTake(chunk.length) === false) {
			this.fail(
				'the answers that wait for their ends exceed the memory of the host',
				true,
			);
			return;
		}

		this.body.append(chunk);
	}

	onResponseEnd(): void {
		if (this.isDone || !this.response) {
			return;
		}

		if (this.options.connections.isConnectionFailing) {
			this.fail(
				'the connection was reset before the response was complete',
				false,
			);
			return;
		}

		const body = this.body.take();
		this.finish();
		if (this.isStreaming) {
			this.options.listener.onStreamEnd();
			return;
		}

		if (this.response.isNotRun) {
			this.options.listener.onFailure({
				kind: 'refused',
				response: this.response,
			});
			return;
		}

		this.options.listener.onResponse(this.response, body);
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.fail(error.message, false, errorCodeOf(error) === 'ECONNREFUSED');
	}

	private forwardStreamData(
		controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		const {listener} = this.options;
		const hasProgress = listener.onStreamData(chunk);
		if (this.isDone) {
			return;
		}

		// A target that sends a byte now and then makes no progress.
		if (hasProgress) {
			this.restartInactivityTimer();
		}

		const isWaiting = listener.waitForReceiver(() => {
			controller.resume();
			if (!this.isDone) {
				this.restartInactivityTimer();
			}
		});
		if (isWaiting) {
			controller.pause();
			this.inactivityTimer?.stop();
		}
	}

	private handleInactivity(): void {
		const reason = this.response
			? 'the target sent no data within the inactivity timeout'
			: 'the target did not start to respond within the start timeout';
		if (this.isStalled) {
			this.fail(reason, true);
			return;
		}

		this.isStalled = true;
		const milliseconds = this.options.listener.onStall(reason);
		// A response that has begun is worth more than a repetition by the caller.
		if (milliseconds !== undefined && !this.response && !this.isDone) {
			this.inactivityTimer?.start(milliseconds);
		}
	}

	private fail(
		reason: string,
		mustAbort: boolean,
		isConnectionRefused = false,
	): void {
		if (this.isDone) {
			return;
		}

		this.finish();
		if (mustAbort) {
			this.controller?.abort(new Error(reason));
		}

		this.options.listener.onFailure(
			this.wasSent
				? {kind: 'lost', reason}
				: {kind: 'unreached', reason, isConnectionRefused},
		);
	}

	private finish(): void {
		this.isDone = true;
		this.body.clear();
		this.held?.release();
		this.inactivityTimer?.stop();
	}

	private restartInactivityTimer(): void {
		if (this.isStalled) {
			this.isStalled = false;
			this.options.listener.onRecovery();
		}

		const {inactivityTimeoutMilliseconds} = this.options;
		if (inactivityTimeoutMilliseconds !== undefined) {
			this.inactivityTimer?.start(inactivityTimeoutMilliseconds);
		}
	}
}

function errorCodeOf(error: Error): unknown {
	return 'code' in error ? error.code : undefined;
}
