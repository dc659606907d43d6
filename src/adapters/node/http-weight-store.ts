import {err, ok, type ResultAsync} from 'neverthrow';
import {
	WeightStore,
	WeightStoreError,
	weightStoreStatusSchema,
	type WeightStoreStatus,
} from '../../contracts/weight-store.js';
import {HttpTransport, type HttpTransportOptions} from './http-transport.js';
import {parseJson} from './json-body.js';

/** Options of the weight store adapter. */
export type HttpWeightStoreOptions = HttpTransportOptions & {
	/** Longest wait for a response. The default is 2000 ms. */
	readonly responseTimeoutMilliseconds?: number;
};

/** A client for the platform's weight store over HTTP. */
export class HttpWeightStore extends WeightStore {
	private readonly transport: HttpTransport;

	constructor(private readonly options: HttpWeightStoreOptions) {
		super();
		this.transport = new HttpTransport(options);
	}

	fetchStatus(): ResultAsync<WeightStoreStatus, WeightStoreError> {
		return this.transport
			.exchange(
				{method: 'GET', path: '/status'},
				{timeoutMilliseconds: this.options.responseTimeoutMilliseconds ?? 2000},
			)
			.mapErr(
				(cause) =>
					new WeightStoreError('the weight store did not respond', {cause}),
			)
			.andThen(({status, body}) =>
				status === 200
					? ok(body)
					: err(
							new WeightStoreError(
								`the weight store responded with status ${status}`,
							),
						),
			)
			.andThen((body) =>
				parseJson(body, weightStoreStatusSchema).mapErr(
					(cause) =>
						new WeightStoreError(
							'the response of the weight store does not match its schema',
							{
								cause,
							},
						),
				),
			);
	}

	/** Closes all pooled connections. Requests in progress on them fail. */
	async dispose(): Promise<void> {
		await this.transport.dispose();
	}
}
