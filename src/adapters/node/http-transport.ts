import {type IncomingHttpHeaders} from 'node:http';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {Client, Pool, type Dispatcher} from 'undici';
import {Disposable} from '../../base/common/disposable.js';
import {Mailbox} from '../../base/common/mailbox.js';
import {ExpiryTimer} from '../../base/node/expiry-timer.js';

// The end of a chunked response follows its last line immediately, unless the connection has become unresponsive.
const releaseTimeoutMilliseconds = 1000;

/** One HTTP request to an external system. */
export type TransportRequest = {
	readonly method: string;
	/** Path and query, relative to the base URL of the system. */
	readonly path: string;
	readonly body?: string | Uint8Array;
	readonly contentType?: string;
};

/** Limits of one exchange of a request and its response. */
export type ExchangeOptions = {
	/** Time from the call to the end of the response after which the exchange fails with `timeout`. */
	readonly timeoutMilliseconds: number;
	readonly signal?: AbortSignal;
	/** Opens a connection for this exchange alone instead of using a pooled one. */
	readonly newConnection?: boolean;
};

/** Status and headers of a response. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** A complete response. */
export type TransportResponse = ResponseHead & {
	readonly body: Uint8Array;
};

/** Why an exchange failed. */
export type TransportFailureReason =
	'closed' | 'timeout' | 'aborted' | 'too-large';

/** An exchange ended without a complete response. */
export class TransportError extends Error {
	override readonly name = 'TransportError';

	constructor(
		readonly reason: TransportFailureReason,
		/** False only if no byte of the request can have been sent. */
		readonly isSent: boolean,
		options?: ErrorOptions,
	) {
		super(
			isSent
				? `the exchange ended before the response was complete: ${reason}`
				: `the request was not sent: ${reason}`,
			options,
		);
	}
}

/** Options of a transport. */
export type HttpTransportOptions = {
	/** Base URL of the external system. */
	readonly address: string;
	/** Longest wait for a new connection. The default is 1000 ms. */
	readonly connectTimeoutMilliseconds?: number;
	/** Largest body of a response to `exchange`; a longer one fails with `too-large`. The default is 16 MiB. */
	readonly maximumBodyBytes?: number;
};

/**
 * An HTTP client for one address with a pool of connections. It never sends a request twice, and its errors state
 * whether a byte of the failed request can have been sent.
 */
export class HttpTransport extends Disposable {
	readonly origin: string;
	private readonly pathPrefix: string;
	private readonly connectTimeoutMilliseconds: number;
	private readonly maximumBodyBytes: number;
	private readonly pools = new Set<Pool>();
	private pool: Pool;

	constructor(options: HttpTransportOptions) {
		super();
		const url = new URL(options.address);
		this.origin = url.origin;
		this.pathPrefix = url.pathname.replace(/\/$/, '');
		this.connectTimeoutMilliseconds =
			options.connectTimeoutMilliseconds ?? 1000;
		this.maximumBodyBytes = options.maximumBodyBytes ?? 16 * 1024 * 1024;
		this.pool = this.createPool();
	}

	/** Sends a request and returns the complete response. */
	exchange(
		request: TransportRequest,
		options: ExchangeOptions,
	): ResultAsync<TransportResponse, TransportError> {
		return new ResultAsync(this.collect(request, options));
	}

	/** Sends a request and returns the response as a stream. */
	open(request: TransportRequest, signal: AbortSignal): ResponseStream {
		const stream = new ResponseStream();
		stream.start(this.pool, this.dispatchOptions(request), signal);
		return stream;
	}

	/**
	 * Makes later requests use new connections. Idle connections close immediately, others when their
	 * exchange ends, so that exchanges on healthy connections are not interrupted.
	 */
	dropConnections(): void {
		const old = this.pool;
		this.pool = this.createPool();
		void old.close().then(() => this.pools.delete(old));
	}

	/** Closes all pooled connections. Exchanges in progress on them fail with `closed`. */
	async dispose(): Promise<void> {
		await Promise.all([...this.pools].map(async (pool) => pool.destroy()));
		this.pools.clear();
	}

	private createPool(): Pool {
		const pool = new Pool(
			this.origin,
			this.clientOptions(this.connectTimeoutMilliseconds),
		);
		this.pools.add(pool);
		return pool;
	}

	private clientOptions(connectTimeoutMilliseconds: number): Client.Options {
		return {
			// The timers of undici are too coarse, so each exchange has its own timer.
			headersTimeout: 0,
			bodyTimeout: 0,
			// A pipelined request would fail together with the one before it on the connection.
			pipelining: 1,
			connect: {timeout: connectTimeoutMilliseconds},
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
						Math.min(this.connectTimeoutMilliseconds, timeoutMilliseconds),
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
			// The other connections of the pool may be unresponsive too.
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

/** A response that is read while it arrives. */
export class ResponseStream {
	/** Resolves with the status and headers when they have arrived, or with the error of the exchange. */
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

	/** Sends the request through a dispatcher. The transport calls it once. */
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
				// undici starts a request again when its connection closed before the response.
				if (this.isSent || this.failure) {
					controller.abort(
						new Error(
							'the request was already sent once and must not be sent again',
						),
					);
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

	/** Returns the next chunk of the body, or undefined after the last one. */
	async read(): Promise<Result<Uint8Array | undefined, TransportError>> {
		const chunk = await this.chunks.take();
		if (chunk === undefined && this.failure) {
			return err(this.failure);
		}

		return ok(chunk);
	}

	/** Aborts the exchange unless it is complete, and returns the error. Readers of an aborted exchange receive the error after the chunks that have already arrived. */
	fail(reason: TransportFailureReason, cause?: unknown): TransportError {
		if (this.failure) {
			return this.failure;
		}

		const failure = new TransportError(reason, this.isSent, {cause});
		if (this.isComplete) {
			return failure;
		}

		this.failure = failure;
		this.controller?.abort(failure);
		this.settle();
		return failure;
	}

	/**
	 * Ignores the rest of a response whose content is already complete. The connection returns to the pool if the
	 * response ends within the release timeout, even if the signal aborts; otherwise it is closed.
	 */
	release(): void {
		if (this.isComplete || this.failure) {
			return;
		}

		this.removeAbortListener?.();
		this.releaseTimer = setTimeout(() => {
			this.fail('aborted');
		}, releaseTimeoutMilliseconds);
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
