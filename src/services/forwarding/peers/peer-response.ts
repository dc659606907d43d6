import {type MessageInitShape} from '@bufbuild/protobuf';
import {type SoftwareVersion} from '../../../contracts/ids.js';
import {type ForwardResponseSchema} from '../../../generated/daisylever/forwarding/v1/forwarding_pb.js';
import {type ByteBudget} from '../../../core/limits/byte-budget.js';
import {CallerResponse, type OwnResponse} from '../attempts/caller-response.js';

/** State of a request that the host from which it came needs to know. */
export type ServedRequestState = {
	/** Attempts that may have been executed. */
	readonly executions: number;
	readonly softwareVersion: SoftwareVersion | undefined;
	/** True when the request may crash targets. */
	readonly isSuspect: boolean;
};

type ForwardResponseInit = MessageInitShape<typeof ForwardResponseSchema>;
type ForwardMessage = NonNullable<ForwardResponseInit['message']>;

/** Bytes that wait for the calling host, above which the target is paused. */
const highWaterMarkBytes = 65_536;
/** Interval of the messages that show the calling host that this one still serves the request. */
const aliveIntervalMilliseconds = 400;

const unsentState: ServedRequestState = {
	executions: 0,
	softwareVersion: undefined,
	isSuspect: false,
};
const aliveMessage: ForwardMessage = {case: 'alive', value: {}};

/** The response to a request that another host forwarded: messages that the call returns as they are read. */
export class PeerResponse extends CallerResponse {
	private readonly queue: ForwardMessage[] = [];
	private queuedBytes = 0;
	private isStreaming = false;
	private isFinished = false;
	private drainCallbacks: Array<() => void> = [];
	private wakeReader: (() => void) | undefined;
	private readState: (() => ServedRequestState) | undefined;
	private closedCallback: (() => void) | undefined;
	/** Bytes of the answer that count in the budget. */
	private heldBytes = 0;

	constructor(private readonly budget?: ByteBudget) {
		super();
	}

	get hasStarted(): boolean {
		return this.isStreaming || this.isFinished;
	}

	get isEnded(): boolean {
		return this.isFinished;
	}

	get unsentBytes(): number {
		return this.queuedBytes;
	}

	/** Calls back once the calling host has taken the whole answer or the call has ended. */
	onClosed(callback: () => void): void {
		this.closedCallback = callback;
	}

	/** Sets the source of what the calling host needs to know besides the answer. */
	describeWith(readState: () => ServedRequestState): void {
		this.readState = readState;
	}

	send(status: number, headers: readonly string[], body: Uint8Array): void {
		this.sendBody(status, headers, body, true);
	}

	sendUnframed(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
	): void {
		this.sendBody(status, headers, body, false);
	}

	sendOwn(response: OwnResponse): void {
		if (!this.hasStarted) {
			this.fail(response);
		}
	}

	/** States that this host serves no forwarded request at the moment. */
	refuseHost(reason: string, retryAfterMilliseconds: number): void {
		this.isFinished = true;
		this.post({
			case: 'failure',
			value: {
				mayHaveRun: false,
				reason,
				retryAfterMilliseconds,
				isHostUnable: true,
			},
		});
	}

	startStream(
		status: number,
		headers: readonly string[],
		isFramed: boolean,
	): void {
		if (this.hasStarted) {
			return;
		}

		this.isStreaming = true;
		this.postHead(status, headers, {isFramed, isStream: true});
	}

	write(bytes: Uint8Array): void {
		if (this.isStreaming && !this.isFinished) {
			this.postData(bytes);
		}
	}

	waitForDrain(callback: () => void): boolean {
		if (this.isFinished || this.queuedBytes < highWaterMarkBytes) {
			return false;
		}

		this.drainCallbacks.push(callback);
		return true;
	}

	end(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.post({case: 'end', value: {}});
		}
	}

	abort(): void {
		if (!this.isFinished) {
			this.fail({
				status: 502,
				execution: 'unknown',
				reason: 'the stream was interrupted',
				retryAfterMilliseconds: undefined,
			});
		}
	}

	/** Yields the messages until the response has ended or the call was cancelled. */
	async *messages(
		signal: AbortSignal,
	): AsyncGenerator<ForwardResponseInit, void> {
		const wake = () => {
			this.wakeReader?.();
		};

		signal.addEventListener('abort', wake);
		try {
			yield {message: aliveMessage};
			while (!signal.aborted) {
				const message = this.takeMessage();
				if (message) {
					yield {message};
				} else if (this.isFinished) {
					return;
				} else if (!(await this.waitForMessage())) {
					yield {message: aliveMessage};
				}
			}
		} finally {
			signal.removeEventListener('abort', wake);
			this.budget?.release(this.heldBytes);
			this.heldBytes = 0;
			this.closedCallback?.();
		}
	}

	private sendBody(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
		isFramed: boolean,
	): void {
		if (this.hasStarted) {
			return;
		}

		this.heldBytes = body.length;
		this.budget?.take(body.length);
		this.postHead(status, headers, {isFramed, isStream: false});
		this.postData(body);
		this.end();
	}

	private fail({
		status,
		execution,
		reason,
		retryAfterMilliseconds,
	}: Omit<OwnResponse, 'headers'>): void {
		this.isFinished = true;
		const {executions, isSuspect} = this.readState?.() ?? unsentState;
		this.post({
			case: 'failure',
			value: {
				mayHaveRun: execution === 'unknown',
				reason,
				status,
				executions,
				isSuspect,
				...(retryAfterMilliseconds === undefined
					? {}
					: {retryAfterMilliseconds: Math.ceil(retryAfterMilliseconds)}),
			},
		});
	}

	private postHead(
		status: number,
		headers: readonly string[],
		{
			isFramed,
			isStream,
		}: {readonly isFramed: boolean; readonly isStream: boolean},
	): void {
		this.post({
			case: 'head',
			value: {status, headers: [...headers], isFramed, isStream},
		});
	}

	private postData(bytes: Uint8Array): void {
		this.queuedBytes += bytes.length;
		this.post({case: 'data', value: {bytes}});
	}

	private post(message: ForwardMessage): void {
		this.queue.push(message);
		this.wakeReader?.();
	}

	private takeMessage(): ForwardMessage | undefined {
		const message = this.queue.shift();
		if (message?.case !== 'data') {
			return message;
		}

		this.queuedBytes -= message.value.bytes?.length ?? 0;
		if (this.queuedBytes < highWaterMarkBytes) {
			const callbacks = this.drainCallbacks;
			this.drainCallbacks = [];
			for (const callback of callbacks) {
				callback();
			}
		}

		// The version is known once the first event was forwarded, which is before this message is read.
		const {softwareVersion} = this.readState?.() ?? unsentState;
		return softwareVersion === undefined
			? message
			: {case: 'data', value: {bytes: message.value.bytes, softwareVersion}};
	}

	/** Resolves with true when there may be a message or the call has ended, and with false after the interval. */
	private async waitForMessage(): Promise<boolean> {
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.wakeReader = undefined;
				resolve(false);
			}, aliveIntervalMilliseconds);
			this.wakeReader = () => {
				clearTimeout(timer);
				this.wakeReader = undefined;
				resolve(true);
			};
		});
	}
}
