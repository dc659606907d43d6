import {validateHeaderName, validateHeaderValue} from 'node:http';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError, type Client} from '@connectrpc/connect';
import {BodyBuffer} from '../../../base/node/body-buffer.js';
import {ExpiryTimer} from '../../../base/node/expiry-timer.js';
import {type SoftwareVersion} from '../../../contracts/ids.js';
import {type ResponseMetadata} from '../../../contracts/request-codec.js';
import {
	type ByteBudget,
	type HeldBody,
} from '../../../core/limits/byte-budget.js';
import {EventStreamSplitter} from '../../../core/streams/event-stream-splitter.js';
import {
	type Data,
	type Failure,
	type ForwardRequestSchema,
	type ForwardResponse,
	type Head,
	type PeerForwardingService,
} from '../../../generated/daisylever/forwarding/v1/forwarding_pb.js';
import {maximumStatus} from '../attempts/forward-attempt.js';
import {type ForwardedRequest} from '../attempts/forwarded-request.js';
import {isConnectFailure} from './peer-connections.js';

/** How a call to a peer has ended. */
export type PeerCallOutcome =
	/** The answer was passed on, or the caller needs none any more. */
	| {readonly kind: 'answered'}
	/** The request has not run and will not. */
	| {
			readonly kind: 'not-run';
			readonly reason: string;
			readonly retryAfterMilliseconds: number | undefined;
			/** True when the peer serves no forwarded request at the moment. */
			readonly isHostUnable: boolean;
	  }
	/** The peer states that the request may have run. */
	| {
			readonly kind: 'failed';
			readonly reason: string;
			readonly executions: number;
			/** Status for the caller if the request is not sent again. */
			readonly status: 502 | 504;
			readonly isSuspect: boolean;
	  }
	/** The call ended without a statement of the peer. */
	| {readonly kind: 'lost'; readonly reason: string};

/** Options of a call to a peer. */
export type PeerCallOptions = {
	readonly client: Client<typeof PeerForwardingService>;
	readonly request: ForwardedRequest;
	readonly message: MessageInitShape<typeof ForwardRequestSchema>;
	/** Limit for the body of a response that is not a stream. */
	readonly maximumBodyBytes: number;
	/** Limit for the bodies of all answers that are held at once. No limit if absent. */
	readonly budget?: ByteBudget | undefined;
	/** Called with the software version at which the stream of the request began. */
	readonly onStreamStart: (version: SoftwareVersion) => void;
};

/** Time within which a peer confirms that it has received a request. */
const confirmationTimeoutMilliseconds = 500;
/** Silence after which a peer is lost that has confirmed the request. Several intervals at which it says that it still serves it. */
const silenceTimeoutMilliseconds = 1300;

/** One call to a peer: passes the answer on to the caller of the request as it arrives. */
export class PeerCall {
	private readonly abort = new AbortController();
	private readonly silence = new ExpiryTimer(() => {
		this.handleSilence();
	});

	private readonly body = new BodyBuffer();
	private readonly splitter = new EventStreamSplitter();
	private head: Head | undefined;
	private outcome: PeerCallOutcome | undefined;
	private wakeAfterDrain: (() => void) | undefined;

	/** The part of the budget that the body of the answer has taken. */
	private readonly held: HeldBody | undefined;

	constructor(private readonly options: PeerCallOptions) {
		this.held = options.budget?.hold();
	}

	/** Sends the request and resolves once it has ended at the peer. */
	async run(): Promise<PeerCallOutcome> {
		const {client, message} = this.options;
		this.silence.start(confirmationTimeoutMilliseconds);
		try {
			for await (const response of client.forward(message, {
				signal: this.abort.signal,
			})) {
				this.silence.start(silenceTimeoutMilliseconds);
				await this.handle(response);
			}
		} catch (error) {
			this.outcome ??= outcomeOf(error);
		}

		this.silence.stop();
		this.body.clear();
		this.held?.release();
		return (
			this.outcome ?? {
				kind: 'lost',
				reason: 'the call ended without an end of the answer',
			}
		);
	}

	/** Cancels the call because its answer is not needed any more. The peer then ends its work. */
	cancel(): void {
		this.end({kind: 'answered'});
	}

	private end(outcome: PeerCallOutcome): void {
		if (this.outcome) {
			return;
		}

		this.outcome = outcome;
		this.silence.stop();
		this.abort.abort();
		this.wakeAfterDrain?.();
	}

	private handleSilence(): void {
		if (this.outcome) {
			this.abort.abort();
			return;
		}

		// A request that must not be repeated gains nothing from an early end of the call.
		if (this.options.request.isRepeatable) {
			this.end({kind: 'lost', reason: 'the peer is silent'});
		}
	}

	private async handle({message}: ForwardResponse): Promise<void> {
		if (this.outcome) {
			return;
		}

		switch (message.case) {
			case 'head': {
				this.handleHead(message.value);
				break;
			}

			case 'data': {
				await this.handleData(message.value);
				break;
			}

			case 'end': {
				this.handleEnd();
				break;
			}

			case 'failure': {
				this.outcome = fromFailure(message.value);
				break;
			}

			case 'alive':
			case undefined: {
				break;
			}
		}
	}

	private handleHead(head: Head): void {
		if (!canSendHead(head)) {
			this.end({kind: 'lost', reason: 'the peer sent a malformed head'});
			return;
		}

		this.head = head;
		if (head.isStream && !this.options.request.startStream(toMetadata(head))) {
			this.end({
				kind: 'lost',
				reason:
					'a body of another type received instead of the rest of a stream',
			});
		}
	}

	private async handleData({bytes, softwareVersion}: Data): Promise<void> {
		const {request, onStreamStart} = this.options;
		if (!this.head?.isStream) {
			if (this.body.length + bytes.length > this.options.maximumBodyBytes) {
				this.end({kind: 'lost', reason: 'the body exceeds the size limit'});
				return;
			}

			if (this.held?.tryTake(bytes.length) === false) {
				this.end({
					kind: 'lost',
					reason:
						'the answers that wait for their ends exceed the memory of the host',
				});
				return;
			}

			this.body.append(bytes);
			return;
		}

		const events = this.splitter.push(Buffer.from(bytes));
		if (this.splitter.isOversized) {
			this.end({kind: 'lost', reason: 'an event exceeds the size limit'});
			return;
		}

		const forwarded = request.forwardEvents(events);
		if (forwarded.isErr()) {
			this.end({kind: 'lost', reason: forwarded.error.message});
			return;
		}

		if (softwareVersion !== undefined) {
			onStreamStart(softwareVersion as SoftwareVersion);
		}

		await this.waitForCaller();
	}

	/** Waits until the caller has read the events, so that the peer does not fill the memory of this host. */
	private async waitForCaller(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.wakeAfterDrain = resolve;
			if (this.options.request.waitForCaller(resolve)) {
				this.silence.stop();
			} else {
				resolve();
			}
		});
		this.wakeAfterDrain = undefined;
		if (!this.outcome) {
			this.silence.start(silenceTimeoutMilliseconds);
		}
	}

	private handleEnd(): void {
		const {request} = this.options;
		if (!this.head) {
			return;
		}

		// The request cancels this call when it finishes. An outcome that is set keeps the connection for later calls.
		this.outcome = {kind: 'answered'};
		if (!this.head.isStream && request.hasStarted) {
			this.outcome = {
				kind: 'failed',
				reason: `status ${this.head.status} received instead of the rest of a stream`,
				executions: 1,
				status: 502,
				isSuspect: false,
			};
		} else if (!this.head.isStream) {
			request.forwardResponse(toMetadata(this.head), this.body.take());
		} else if (this.splitter.remainder.length > 0) {
			this.outcome = {
				kind: 'lost',
				reason: 'the stream ended in the middle of an event',
			};
		} else {
			request.endStream();
		}
	}
}

/** True for the head of a final response that may be sent. Node.js throws for malformed headers. */
function canSendHead({status, headers}: Head): boolean {
	if (status < 200 || status > maximumStatus || headers.length % 2 !== 0) {
		return false;
	}

	try {
		for (let index = 0; index < headers.length; index += 2) {
			validateHeaderName(headers[index]!);
			validateHeaderValue(headers[index]!, headers[index + 1]!);
		}
	} catch {
		return false;
	}

	return true;
}

function fromFailure({
	mayHaveRun,
	reason,
	executions,
	status,
	isSuspect,
	isHostUnable,
	retryAfterMilliseconds,
}: Failure): PeerCallOutcome {
	return mayHaveRun
		? {
				kind: 'failed',
				reason,
				executions,
				status: status === 504 ? 504 : 502,
				isSuspect,
			}
		: {kind: 'not-run', reason, retryAfterMilliseconds, isHostUnable};
}

function outcomeOf(error: unknown): PeerCallOutcome {
	const reason = error instanceof Error ? error.message : String(error);
	// A host of an older build answers that it does not know the call.
	const isUnknownCall =
		error instanceof ConnectError && error.code === Code.Unimplemented;
	return isUnknownCall || isConnectFailure(error)
		? {
				kind: 'not-run',
				reason,
				retryAfterMilliseconds: undefined,
				isHostUnable: true,
			}
		: {kind: 'lost', reason};
}

/** The peer has checked the response of the target, so only what the caller receives is needed. */
function toMetadata({status, headers, isFramed}: Head): ResponseMetadata {
	return {
		status,
		requestId: undefined,
		isSigned: true,
		isFramed,
		isNotRun: false,
		isMisdirected: false,
		respondingTarget: undefined,
		contentType: headerValue(headers, 'content-type'),
		load: undefined,
		requestsPerSecond: undefined,
		forwardedHeaders: headers,
	};
}

function headerValue(
	headers: readonly string[],
	name: string,
): string | undefined {
	const index = headers.findIndex(
		(header, position) => position % 2 === 0 && header.toLowerCase() === name,
	);
	return index === -1 ? undefined : headers[index + 1];
}
