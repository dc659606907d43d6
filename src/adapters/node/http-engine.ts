import {err, ok, type Result, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {
	cacheEventSchema,
	Engine,
	generationEventSchema,
	orderAcknowledgementSchema,
	targetReportSchema,
	type CacheEvent,
	type EngineOrder,
	type GenerationEvent,
	type GenerationRequest,
	type GenerationStream,
	type OrderAcknowledgement,
	type TargetReport,
} from '../../contracts/engine.js';
import {type RequestId} from '../../contracts/ids.js';
import {
	TargetResponseLostError,
	TargetProtocolError,
	TargetRefusedError,
	type TargetError,
} from '../../contracts/target-error.js';
import {
	HttpTransport,
	type HttpTransportOptions,
	type ResponseStream,
	type TransportRequest,
	type TransportResponse,
} from './http-transport.js';
import {parseJson} from './json-body.js';
import {LineSplitter} from './line-splitter.js';
import {
	pingResponseSchema,
	toResponseError,
	toTargetError,
} from './target-response.js';

const cacheEventsSchema = z.object({events: z.array(cacheEventSchema)});

/** Options of the engine adapter. */
export type HttpEngineOptions = HttpTransportOptions & {
	/** Longest wait for a response that is not a stream. The default is 2000 ms. */
	readonly responseTimeoutMilliseconds?: number;
};

/** A client for an engine worker over HTTP. Generations are streams of newline-delimited JSON. */
export class HttpEngine extends Engine {
	private readonly transport: HttpTransport;
	private readonly responseTimeoutMilliseconds: number;

	constructor(options: HttpEngineOptions) {
		super();
		this.transport = new HttpTransport(options);
		this.responseTimeoutMilliseconds =
			options.responseTimeoutMilliseconds ?? 2000;
	}

	generate(request: GenerationRequest, signal: AbortSignal): GenerationStream {
		return this.stream(
			{
				method: 'POST',
				path: '/generate',
				body: JSON.stringify(request),
				contentType: 'application/json',
			},
			signal,
		);
	}

	resume(
		requestId: RequestId,
		fromSequence: number,
		signal: AbortSignal,
	): GenerationStream {
		const path = `${generationPath(requestId)}?from=${fromSequence}`;
		return this.stream({method: 'GET', path}, signal);
	}

	cancel(requestId: RequestId): ResultAsync<void, TargetError> {
		return this.exchange({
			method: 'DELETE',
			path: generationPath(requestId),
		}).map(() => undefined);
	}

	fetchReport(): ResultAsync<TargetReport, TargetError> {
		return this.exchangeJson(
			{method: 'GET', path: '/report'},
			targetReportSchema,
		);
	}

	sendOrder(
		order: EngineOrder,
	): ResultAsync<OrderAcknowledgement, TargetError> {
		return this.exchangeJson(
			{
				method: 'POST',
				path: '/orders',
				body: JSON.stringify(order),
				contentType: 'application/json',
			},
			orderAcknowledgementSchema,
		).andThen((acknowledgement) =>
			acknowledgement.orderId === order.orderId
				? ok(acknowledgement)
				: err(
						new TargetProtocolError(
							`the target acknowledged order ${acknowledgement.orderId} instead of ${order.orderId}`,
						),
					),
		);
	}

	fetchCacheEvents(
		fromSequence: number,
	): ResultAsync<readonly CacheEvent[], TargetError> {
		return this.exchangeJson(
			{method: 'GET', path: `/cache-events?from=${fromSequence}`},
			cacheEventsSchema,
		).map(({events}) => events);
	}

	exportCache(requestId: RequestId): ResultAsync<Uint8Array, TargetError> {
		return this.exchange({
			method: 'GET',
			path: `${generationPath(requestId)}/cache`,
		}).map(({body}) => body);
	}

	importCache(
		requestId: RequestId,
		content: Uint8Array,
	): ResultAsync<void, TargetError> {
		return this.exchange({
			method: 'PUT',
			path: `${generationPath(requestId)}/cache`,
			body: content,
			contentType: 'application/octet-stream',
		}).map(() => undefined);
	}

	ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError> {
		return this.exchangeJson(
			{method: 'GET', path: '/ping'},
			pingResponseSchema,
			timeoutMilliseconds,
		);
	}

	dropConnections(): void {
		this.transport.dropConnections();
	}

	/** Closes all pooled connections. Requests in progress on them fail. */
	async dispose(): Promise<void> {
		await this.transport.dispose();
	}

	/** Sends a request. With a timeout for a new connection it uses that timeout and a connection of its own. */
	private exchange(
		request: TransportRequest,
		newConnectionTimeoutMilliseconds?: number,
	): ResultAsync<TransportResponse, TargetError> {
		return this.transport
			.exchange(request, {
				timeoutMilliseconds:
					newConnectionTimeoutMilliseconds ?? this.responseTimeoutMilliseconds,
				newConnection: newConnectionTimeoutMilliseconds !== undefined,
			})
			.mapErr(toTargetError)
			.andThen((response) =>
				response.status >= 200 && response.status < 300
					? ok(response)
					: err(toResponseError(response)),
			);
	}

	private exchangeJson<T>(
		request: TransportRequest,
		schema: z.ZodType<T>,
		newConnectionTimeoutMilliseconds?: number,
	): ResultAsync<T, TargetError> {
		return this.exchange(request, newConnectionTimeoutMilliseconds).andThen(
			({body}) =>
				parseJson(body, schema).mapErr(
					(cause) =>
						new TargetProtocolError(
							`the response to ${request.method} ${request.path} does not match its schema`,
							{cause},
						),
				),
		);
	}

	private async *stream(
		request: TransportRequest,
		signal: AbortSignal,
	): GenerationStream {
		const response = this.transport.open(request, signal);
		let isComplete = false;
		try {
			const error = await readStreamError(response);
			if (error) {
				isComplete = error instanceof TargetRefusedError;
				yield err(error);
				return;
			}

			const splitter = new LineSplitter();
			for (;;) {
				const lines = await readLines(response, splitter);
				if (lines.isErr()) {
					yield err(lines.error);
					return;
				}

				for (const line of lines.value) {
					const event = parseEvent(line);
					isComplete = event.isOk() && event.value.kind === 'end';
					yield event;
					if (isComplete || event.isErr()) {
						return;
					}
				}
			}
		} finally {
			if (isComplete) {
				response.release();
			} else {
				response.fail('aborted');
			}
		}
	}
}

/** Returns the error that replaces the stream, or undefined when the events of the stream follow. */
async function readStreamError(
	response: ResponseStream,
): Promise<TargetError | undefined> {
	const head = await response.head;
	if (head.isErr()) {
		return toTargetError(head.error);
	}

	if (head.value.status === 200) {
		return undefined;
	}

	const body = await response.read();
	return toResponseError({
		...head.value,
		body: body.unwrapOr(undefined) ?? new Uint8Array(),
	});
}

async function readLines(
	response: ResponseStream,
	splitter: LineSplitter,
): Promise<Result<string[], TargetError>> {
	const chunk = await response.read();
	if (chunk.isErr()) {
		return err(toTargetError(chunk.error));
	}

	if (chunk.value === undefined) {
		return err(
			new TargetResponseLostError(
				'closed',
				'the stream ended without an end event',
			),
		);
	}

	return splitter
		.push(chunk.value)
		.mapErr((error) => new TargetProtocolError(error.message));
}

function parseEvent(line: string): Result<GenerationEvent, TargetError> {
	return parseJson(line, generationEventSchema).mapErr(
		(cause) =>
			new TargetProtocolError('a line of the stream is not a valid event', {
				cause,
			}),
	);
}

function generationPath(requestId: RequestId): string {
	return `/generations/${encodeURIComponent(requestId)}`;
}
