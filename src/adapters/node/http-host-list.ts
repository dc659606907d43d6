import {err, ok, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {
	HostList,
	HostListError,
	hostListEntrySchema,
	type HostListEntry,
} from '../../contracts/host-list.js';
import {HttpTransport, type HttpTransportOptions} from './http-transport.js';
import {parseJson} from './json-body.js';

const hostsSchema = z.object({hosts: z.array(hostListEntrySchema)});

/** Options of the host list adapter. */
export type HttpHostListOptions = HttpTransportOptions & {
	/** Longest wait for a response. The default is 2000 ms. */
	readonly responseTimeoutMilliseconds?: number;
};

/** A client for the platform's host list over HTTP. */
export class HttpHostList extends HostList {
	private readonly transport: HttpTransport;

	constructor(private readonly options: HttpHostListOptions) {
		super();
		this.transport = new HttpTransport(options);
	}

	list(): ResultAsync<readonly HostListEntry[], HostListError> {
		return this.transport
			.exchange(
				{method: 'GET', path: '/hosts'},
				{timeoutMilliseconds: this.options.responseTimeoutMilliseconds ?? 2000},
			)
			.mapErr(
				(cause) => new HostListError('the host list did not respond', {cause}),
			)
			.andThen(({status, body}) =>
				status === 200
					? ok(body)
					: err(
							new HostListError(
								`the host list responded with status ${status}`,
							),
						),
			)
			.andThen((body) =>
				parseJson(body, hostsSchema).mapErr(
					(cause) =>
						new HostListError(
							'the response of the host list does not match its schema',
							{cause},
						),
				),
			)
			.map(({hosts}) => hosts);
	}

	/** Closes all pooled connections. Requests in progress on them fail. */
	async dispose(): Promise<void> {
		await this.transport.dispose();
	}
}
