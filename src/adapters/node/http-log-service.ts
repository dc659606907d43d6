import {err, errAsync, ok, type Result, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {
	logOffsetSchema,
	recordIdSchema,
	type LogOffset,
} from '../../contracts/ids.js';
import {
	LogProtocolError,
	LogRestoredError,
	LogService,
	LogTruncatedError,
	LogUnavailableError,
	type LogBatch,
	type LogError,
	type LogRecord,
	type StreamBounds,
	type StreamName,
} from '../../contracts/log-service.js';
import {
	HttpTransport,
	type HttpTransportOptions,
	type TransportRequest,
	type TransportResponse,
} from './http-transport.js';
import {parseJson} from './json-body.js';

const appendResponseSchema = z.object({first: logOffsetSchema});
const readResponseSchema = z.object({
	records: z.array(
		z.object({
			id: recordIdSchema,
			offset: logOffsetSchema,
			body: z.unknown(),
		}),
	),
	next: logOffsetSchema,
});
const boundsResponseSchema = z.object({
	earliest: logOffsetSchema,
	next: logOffsetSchema,
});
const truncatedResponseSchema = z.object({earliest: logOffsetSchema});

/** Header of all responses of the log service. Its value changes each time the service is restored from a copy. */
const generationHeader = 'log-generation';

/** Options of the log adapter. */
export type HttpLogServiceOptions = HttpTransportOptions & {
	/** Longest wait for a response, in addition to the wait that a read requests. The default is 2000 ms. */
	readonly responseTimeoutMilliseconds?: number;
};

/** A client for the log service over HTTP. */
export class HttpLogService extends LogService {
	private readonly transport: HttpTransport;
	private readonly responseTimeoutMilliseconds: number;
	/** Generation of the log in the first response that named one. */
	private generation: string | undefined;
	private isRestored = false;

	constructor(options: HttpLogServiceOptions) {
		super();
		this.transport = new HttpTransport({
			// A snapshot of the whole document is one record.
			maximumBodyBytes: 256 * 1024 * 1024,
			...options,
		});
		this.responseTimeoutMilliseconds =
			options.responseTimeoutMilliseconds ?? 2000;
	}

	append(
		stream: StreamName,
		records: readonly LogRecord[],
	): ResultAsync<LogOffset, LogError> {
		return this.exchange(
			{
				method: 'POST',
				path: `/streams/${stream}/records`,
				body: JSON.stringify({records}),
				contentType: 'application/json',
			},
			appendResponseSchema,
		).map(({first}) => first);
	}

	read(
		stream: StreamName,
		from: LogOffset,
		options: {readonly limit: number; readonly waitMilliseconds: number},
		signal?: AbortSignal,
	): ResultAsync<LogBatch, LogError> {
		const {limit, waitMilliseconds} = options;
		const query = `from=${from}&limit=${limit}&wait=${waitMilliseconds}`;
		return this.exchange(
			{method: 'GET', path: `/streams/${stream}/records?${query}`},
			readResponseSchema,
			{waitMilliseconds, signal},
		).andThen((batch) =>
			isContiguous(batch, from)
				? ok(batch)
				: err(
						new LogProtocolError(
							'the offsets of the records read from the log are not contiguous',
						),
					),
		);
	}

	readBounds(stream: StreamName): ResultAsync<StreamBounds, LogError> {
		return this.exchange(
			{method: 'GET', path: `/streams/${stream}/bounds`},
			boundsResponseSchema,
		);
	}

	/** Closes all pooled connections. Requests in progress on them fail. */
	async dispose(): Promise<void> {
		await this.transport.dispose();
	}

	private exchange<T>(
		request: TransportRequest,
		schema: z.ZodType<T>,
		options: {
			readonly waitMilliseconds?: number;
			readonly signal?: AbortSignal;
		} = {},
	): ResultAsync<T, LogError> {
		if (this.isRestored) {
			return errAsync(restoredError());
		}

		return this.transport
			.exchange(request, {
				timeoutMilliseconds:
					this.responseTimeoutMilliseconds + (options.waitMilliseconds ?? 0),
				signal: options.signal,
			})
			.mapErr(
				(cause): LogError =>
					new LogUnavailableError('the log service did not respond', {cause}),
			)
			.andThen((response) =>
				this.observeGeneration(response).map(() => response),
			)
			.andThen((response) =>
				response.status === 200
					? parseJson(response.body, schema).mapErr(
							(cause) =>
								new LogProtocolError(
									'the response of the log service does not match its schema',
									{
										cause,
									},
								),
						)
					: err(toLogError(response)),
			);
	}

	/** Fails when a response names another generation of the log than earlier ones. */
	private observeGeneration({
		headers,
	}: TransportResponse): Result<void, LogError> {
		const generation = headers[generationHeader];
		if (typeof generation !== 'string') {
			return ok(undefined);
		}

		this.generation ??= generation;
		this.isRestored ||= generation !== this.generation;
		return this.isRestored ? err(restoredError()) : ok(undefined);
	}
}

function restoredError(): LogRestoredError {
	return new LogRestoredError(
		'the log service was restored from a copy; restart this host to use the restored log',
	);
}

function toLogError(response: TransportResponse): LogError {
	const {status, body} = response;
	if (status === 410) {
		const truncated = parseJson(body, truncatedResponseSchema);
		if (truncated.isOk()) {
			return new LogTruncatedError(truncated.value.earliest);
		}
	}

	if (status === 429 || status >= 500) {
		return new LogUnavailableError(
			`the log service responded with status ${status}`,
		);
	}

	return new LogProtocolError(
		`the log service responded with status ${status}`,
	);
}

// With a gap, this host would apply other records than the other hosts and its state would diverge from theirs.
function isContiguous(batch: LogBatch, from: LogOffset): boolean {
	return (
		batch.records.every((record, index) => record.offset === from + index) &&
		(batch.next as number) === from + batch.records.length
	);
}
