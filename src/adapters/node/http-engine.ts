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
	TargetLostError,
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
import {pingSchema, toAnswerError, toTargetError} from './target-answer.js';

const cacheEventsSchema = z.object({events: z.array(cacheEventSchema)});

/** Settings of the engine adapter. */
export type HttpEngineOptions = HttpTransportOptions & {
	/** Longest wait for answers that are not streams. */
	readonly answerTimeoutMilliseconds?: number;
};

/** An engine worker over HTTP with newline-delimited JSON streams. */
export class HttpEngine extends Engine {
	private readonly transport: HttpTransport;
	private readonly answerTimeout: number;

	constructor(options: HttpEngineOptions) {
		super();
		this.transport = new HttpTransport(options);
		this.answerTimeout = options.answerTimeoutMilliseconds ?? 2000;
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

	report(): ResultAsync<TargetReport, TargetError> {
		return this.exchangeJson(
			{method: 'GET', path: '/report'},
			targetReportSchema,
		);
	}

	order(order: EngineOrder): ResultAsync<OrderAcknowledgement, TargetError> {
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
				: err(new TargetProtocolError('the target acknowledged another order')),
		);
	}

	cacheEvents(
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
			pingSchema,
			timeoutMilliseconds,
		);
	}

	dropConnections(): void {
		this.transport.dropConnections();
	}

	/** Closes all connections. */
	async dispose(): Promise<void> {
		await this.transport.dispose();
	}

	private exchange(
		request: TransportRequest,
		newConnectionTimeout?: number,
	): ResultAsync<TransportResponse, TargetError> {
		return this.transport
			.exchange(request, {
				timeoutMilliseconds: newConnectionTimeout ?? this.answerTimeout,
				newConnection: newConnectionTimeout !== undefined,
			})
			.mapErr(toTargetError)
			.andThen((response) =>
				response.status >= 200 && response.status < 300
					? ok(response)
					: err(toAnswerError(response)),
			);
	}

	private exchangeJson<T>(
		request: TransportRequest,
		schema: z.ZodType<T>,
		newConnectionTimeout?: number,
	): ResultAsync<T, TargetError> {
		return this.exchange(request, newConnectionTimeout).andThen(({body}) =>
			parseJson(body, schema).mapErr(
				(cause) =>
					new TargetProtocolError(
						`the answer to ${request.method} ${request.path} has another form`,
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
		let isAnswered = false;
		try {
			for await (const event of this.readEvents(response)) {
				isAnswered = event.isOk()
					? event.value.kind === 'end'
					: event.error instanceof TargetRefusedError;
				yield event;
			}
		} finally {
			if (isAnswered) {
				response.release();
			} else {
				response.fail('aborted');
			}
		}
	}

	private async *readEvents(
		response: ResponseStream,
	): AsyncGenerator<Result<GenerationEvent, TargetError>, void> {
		const head = await response.head;
		if (head.isErr()) {
			yield err(toTargetError(head.error));
			return;
		}

		if (head.value.status !== 200) {
			const body = await response.read();
			yield err(
				toAnswerError({
					...head.value,
					body: body.unwrapOr(undefined) ?? new Uint8Array(),
				}),
			);
			return;
		}

		const splitter = new LineSplitter();
		for (;;) {
			const chunk = await response.read();
			if (chunk.isErr()) {
				yield err(toTargetError(chunk.error));
				return;
			}

			if (chunk.value === undefined) {
				yield err(
					new TargetLostError('closed', 'the stream has no end marker'),
				);
				return;
			}

			const lines = splitter.push(chunk.value);
			if (lines.isErr()) {
				yield err(new TargetProtocolError(lines.error.message));
				return;
			}

			for (const line of lines.value) {
				const event = parseJson(line, generationEventSchema);
				if (event.isErr()) {
					yield err(
						new TargetProtocolError('a line of the stream is not an event', {
							cause: event.error,
						}),
					);
					return;
				}

				yield ok(event.value);
				if (event.value.kind === 'end') {
					return;
				}
			}
		}
	}
}

function generationPath(requestId: RequestId): string {
	return `/generations/${encodeURIComponent(requestId)}`;
}
