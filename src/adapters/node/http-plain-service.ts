import {err, ok, type ResultAsync} from 'neverthrow';
import {type z} from 'zod';
import {
	PlainService,
	serviceReportSchema,
	type ServiceReport,
	type ServiceRequest,
	type ServiceResponse,
} from '../../contracts/plain-service.js';
import {
	TargetProtocolError,
	type TargetError,
} from '../../contracts/target-error.js';
import {
	HttpTransport,
	type ExchangeOptions,
	type HttpTransportOptions,
} from './http-transport.js';
import {parseJson} from './json-body.js';
import {
	pingResponseSchema,
	parseRefusal,
	toResponseError,
	toTargetError,
} from './target-response.js';

const reportTimeoutMilliseconds = 2000;

/** A client for one instance of a plain service over HTTP. */
export class HttpPlainService extends PlainService {
	private readonly transport: HttpTransport;

	constructor(options: HttpTransportOptions) {
		super();
		this.transport = new HttpTransport(options);
	}

	call(
		request: ServiceRequest,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, TargetError> {
		const {method, path, contentType, timeoutMilliseconds} = request;
		const body = request.body.length > 0 ? request.body : undefined;
		return this.transport
			.exchange(
				{method, path, contentType, body},
				{timeoutMilliseconds, signal, newConnection: request.newConnection},
			)
			.mapErr(toTargetError)
			.andThen((response) => {
				const refusal = parseRefusal(response.headers, response.body);
				return refusal
					? err(refusal)
					: ok({
							status: response.status,
							contentType: response.headers['content-type'],
							body: response.body,
						});
			});
	}

	fetchReport(): ResultAsync<ServiceReport, TargetError> {
		return this.fetchJson('/report', serviceReportSchema, {
			timeoutMilliseconds: reportTimeoutMilliseconds,
		});
	}

	ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError> {
		return this.fetchJson('/ping', pingResponseSchema, {
			timeoutMilliseconds,
			newConnection: true,
		});
	}

	dropConnections(): void {
		this.transport.dropConnections();
	}

	/** Closes all pooled connections. Calls in progress on them fail. */
	async dispose(): Promise<void> {
		await this.transport.dispose();
	}

	private fetchJson<T>(
		path: string,
		schema: z.ZodType<T>,
		options: ExchangeOptions,
	): ResultAsync<T, TargetError> {
		return this.transport
			.exchange({method: 'GET', path}, options)
			.mapErr(toTargetError)
			.andThen((response) =>
				response.status === 200
					? parseJson(response.body, schema).mapErr(
							(cause) =>
								new TargetProtocolError(
									`the response to GET ${path} does not match its schema`,
									{
										cause,
									},
								),
						)
					: err(toResponseError(response)),
			);
	}
}
