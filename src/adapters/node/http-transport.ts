import {type IncomingHttpHeaders} from 'node:http';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {Client, Pool, type Dispatcher} from 'undici';
import {Disposable} from '../../base/common/disposable.js';
import {Mailbox} from '../../base/common/mailbox.js';
import {ExpiryTimer} from '../../base/node/expiry-timer.js';

// The end of a chunked answer follows its last line at once, unless the connection is silent.
const releaseMilliseconds = 1000;

/** One HTTP request to an outside system. */
export type TransportRequest = {
	readonly method: string;
	/** Path and query below the address of the system. */
	readonly path: string;
	readonly body?: string | Uint8Array;
	readonly contentType?: string;
};

/** Bounds of one exchange. */
export type ExchangeOptions = {
	readonly timeoutMilliseconds: number;
	readonly signal?: AbortSignal;
	/** Uses a connection of its own instead of a pooled one. */
	readonly newConnection?: boolean;
};

/** Status and headers of an answer. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** A complete answer. */
export type TransportResponse = ResponseHead & {
	readonly body: Uint8Array;
};

/** Why an exchange ended without a complete answer. */
export type TransportFailureReason =
	'closed' | 'timeout' | 'aborted' | 'too-large';

/** An exchange without a complete answer. */
export class TransportError extends Error {
	override readonly name = 'TransportError';

	constructor(
		readonly reason: TransportFailureReason,
		/** False when no byte of the request can have left. */
		readonly isSent: boolean,
		options?: ErrorOptions,
	) {
		super(
			isSent
				? `the exchange ended early: ${reason}`
				: `the request was not sent: ${reason}`,
			options,
		);
	}
}

/** Settings of a transport. */
export type HttpTransportOptions = {
	/** Base URL of the outside system. */
	readonly address: string;
	readonly connectTimeoutMilliseconds?: number;
	/** Largest body of a complete answer. */
	readonly maximumBodyBytes?: number;
};

/**
 * HTTP to one address over a pool of connections. Never sends a request twice, and
 * tells whether a failed request can have left.
 */
export class HttpTransport extends Disposable {
	readonly origin: string;
	private readonly pathPrefix: string;
	private readonly connectTimeout: number;
	private readonly maximumBodyBytes: number;
	private readonly pools = new Set<Pool>();
	private pool: Pool;

	constructor(options: HttpTransportOptions) {
		super();
		const url = new URL(options.address);
		this.origin = url.origin;
		this.pathPrefix = url.pathname.replace(/\/$/, '');
		this.connectTimeout = options.connectTimeoutMilliseconds ?? 1000;
		this.maximumBodyBytes = options.maximumBodyBytes ?? 16 * 1024 * 1024;
		this.pool = this.createPool();
	}

	/** Sends a request and collects the answer. */
	exchange(
		request: TransportRequest,
		options: ExchangeOptions,
	): ResultAsync<TransportResponse, TransportError> {
		return new ResultAsync(this.collect(request, options));
	}

	/** Sends a request and hands out the answer while it arrives. */
	open(request: TransportRequest, signal: AbortSignal): ResponseStream {
		const stream = new ResponseStream();
		stream.start(this.pool, this.dispatchOptions(request), signal);
		return stream;
	}

	/**
	 * Makes later requests use new connections. Idle connections close at once, others when their
	 * exchange ends, so that exchanges on healthy connections are not lost.
	 */
	dropConnections(): void {
		const old = this.pool;
		this.pool = this.createPool();
		void old.close().then(() => this.pools.delete(old));
	}

	async dispose(): Promise<void> {
		await Promise.all([...this.pools].map(async (pool) => pool.destroy()));
		this.pools.clear();
	}

	private createPool(): Pool {
		const pool = new Pool(this.origin, this.clientOptions(this.connectTimeout));
		this.pools.add(pool);
		return pool;
	}

	private clientOptions(connectTimeout: number): Client.Options {
		return {
			// Timers of undici are coarse; each exchange has a timer of its own.
			headersTimeout: 0,
			bodyTimeout: 0,
			// A request behind another one on a connection would share its fate.
			pipelining: 1,
			connect: {timeout: connectTimeout},
		};
	}

	private dispatchOptions(
		request: TransportRequest,
	): Dispatcher.DispatchOptions {
		return {
			origin: this.origin,
			path: `${this.pathPrefix}${request.path}`,
			method: request.method,
			body:
				typeof request.body === 'string'
					? request.body
					: request.body && Buffer.from(request.body),
			headers: request.contentType ? {'content-type': request.contentType} : {},
		};
	}

	private async collect(
		request: TransportRequest,
		options: ExchangeOptions,
	): Promise<Result<TransportResponse, TransportError>> {
		const {timeoutMilliseconds, signal, newConnection} = options;
		const client = newConnection
			? new Client(
					this.origin,
					this.clientOptions(
						Math.min(this.connectTimeout, timeoutMilliseconds),
					),
				)
			: undefined;
		const stream = new ResponseStream();
		const timer = new ExpiryTimer(() => {
			stream.fail('timeout');
		});
		timer.start(timeoutMilliseconds);
		stream.start(client ?? this.pool, this.dispatchOptions(request), signal);
		const result = await this.readAll(stream);
		timer.stop();
		if (result.isErr() && result.error.reason === 'timeout') {
			// Other connections of the pool may be as silent as this one.
			this.dropConnections();
		}

		if (client) {
			void client.destroy();
		}

		return result;
	}

	private async readAll(
		stream: ResponseStream,
	): Promise<Result<TransportResponse, TransportError>> {
		const head = await stream.head;
		if (head.isErr()) {
			return err(head.error);
		}

		const chunks: Uint8Array[] = [];
		let bytes = 0;
		for (;;) {
			const chunk = await stream.read();
			if (chunk.isErr()) {
				return err(chunk.error);
			}

			if (chunk.value === undefined) {
				return ok({...head.value, body: Buffer.concat(chunks)});
			}

			bytes += chunk.value.length;
			if (bytes > this.maximumBodyBytes) {
				return err(stream.fail('too-large'));
			}

			chunks.push(chunk.value);
		}
	}
}

/** An answer that arrives in parts. */
export class ResponseStream {
	/** Status and headers, once they arrived. */
	readonly head: Promise<Result<ResponseHead, TransportError>>;
	private resolveHead!: (head: Result<ResponseHead, TransportError>) => void;
	private readonly chunks = new Mailbox<Uint8Array>();
	private controller: Dispatcher.DispatchController | undefined;
	private failure: TransportError | undefined;
	private isComplete = false;
	private isSent = false;
	private releaseTimer: NodeJS.Timeout | undefined;
	private removeAbortListener: (() => void) | undefined;

	constructor() {
		this.head = new Promise((resolve) => {
			this.resolveHead = resolve;
		});
	}

	/** Hands the request to a dispatcher. Called once, by the transport. */
	start(
		dispatcher: Dispatcher,
		options: Dispatcher.DispatchOptions,
		signal: AbortSignal | undefined,
	): void {
		if (signal?.aborted) {
			this.fail('aborted');
			return;
		}

		const abort = () => {
			this.fail('aborted');
		};

		signal?.addEventListener('abort', abort, {once: true});
		this.removeAbortListener = () => {
			signal?.removeEventListener('abort', abort);
		};

		dispatcher.dispatch(options, {
			onRequestStart: (controller) => {
				// undici starts a request again when its connection ended before the answer.
				if (this.isSent || this.failure) {
					controller.abort(new Error('the request is not sent again'));
					this.fail('closed');
					return;
				}

				this.isSent = true;
				this.controller = controller;
			},
			onResponseStart: (_controller, status, headers) => {
				if (status >= 200) {
					this.resolveHead(ok({status, headers}));
				}
			},
			onResponseData: (_controller, chunk) => {
				this.chunks.post(chunk);
			},
			onResponseEnd: () => {
				this.isComplete = true;
				this.settle();
			},
			onResponseError: (_controller, cause) => {
				this.fail('closed', cause);
			},
		});
	}

	/** Returns the next part of the body, or undefined after the last one. */
	async read(): Promise<Result<Uint8Array | undefined, TransportError>> {
		const chunk = await this.chunks.take();
		if (chunk === undefined && this.failure) {
			return err(this.failure);
		}

		return ok(chunk);
	}

	/** Ends the exchange unless it is complete, and returns the error that readers get. */
	fail(loss: TransportFailureReason, cause?: unknown): TransportError {
		if (this.failure) {
			return this.failure;
		}

		const failure = new TransportError(loss, this.isSent, {cause});
		if (this.isComplete) {
			return failure;
		}

		this.failure = failure;
		this.controller?.abort(failure);
		this.settle();
		return failure;
	}

	/**
	 * Gives up the rest of an answer whose content is known to be complete. The connection is
	 * kept when the answer ends in time, even when the signal aborts.
	 */
	release(): void {
		if (this.isComplete || this.failure) {
			return;
		}

		this.removeAbortListener?.();
		this.releaseTimer = setTimeout(() => {
			this.fail('aborted');
		}, releaseMilliseconds);
		this.releaseTimer.unref();
	}

	private settle(): void {
		clearTimeout(this.releaseTimer);
		this.removeAbortListener?.();
		if (this.failure) {
			this.resolveHead(err(this.failure));
		}

		this.chunks.close();
	}
}
