import {Agent} from 'node:http';
import {Agent as TlsAgent} from 'node:https';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {createClient, type Client, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ResultAsync} from 'neverthrow';
import {Disposable} from '../base/common/disposable.js';
import {type TlsIdentity} from '../base/node/http-listener.js';
import {type LogOffset, type RecordId} from '../contracts/ids.js';
import {type LogBatch} from '../contracts/log-service.js';
import {
	PeerService,
	type HostState,
	type HostStateSchema,
} from '../generated/daisylever/peer/v1/peer_pb.js';
import {PeerError} from './peer-record-source.js';

/** Request header that carries the shared secret of the fleet. */
export const peerSecretHeader = 'x-daisylever-peer-secret';

/** Certificate and key of this host and the certificate authority of the fleet, in PEM format. */
export type PeerTls = TlsIdentity & {readonly authority: string};

/** Options of a peer client. */
export type PeerClientOptions = {
	/** Base address of the peer server, such as `http://10.0.0.7:7400`. */
	readonly address: string;
	readonly secret: string;
	readonly tls?: PeerTls | undefined;
	/** Timeout of a heartbeat. Default: 1000. */
	readonly timeoutMilliseconds?: number;
	/** Timeout for records and snapshots, which take longer than heartbeats. Default: 5000. */
	readonly snapshotTimeoutMilliseconds?: number;
};

const agentOptions = {keepAlive: true, maxSockets: 4};

function createAgent(tls: PeerTls | undefined): Agent {
	return tls
		? new TlsAgent({
				...agentOptions,
				cert: tls.certificate,
				key: tls.key,
				ca: tls.authority,
				minVersion: 'TLSv1.2',
				// The addresses of hosts change, so a certificate proves only that the host belongs to the fleet.
				checkServerIdentity: () => undefined,
			})
		: new Agent(agentOptions);
}

/**
 * Calls the peer server of one other host. Uses HTTP/1.1 so that a call that times out closes its connection:
 * a shared HTTP/2 connection would be reused even if it no longer receives data.
 */
export class PeerClient extends Disposable {
	private readonly agent: Agent;
	private readonly client: Client<typeof PeerService>;

	constructor(private readonly options: PeerClientOptions) {
		super();
		this.agent = createAgent(options.tls);
		const authenticate: Interceptor = (next) => async (request) => {
			request.header.set(peerSecretHeader, options.secret);
			return next(request);
		};

		this.client = createClient(
			PeerService,
			createConnectTransport({
				baseUrl: options.address,
				httpVersion: '1.1',
				nodeOptions: {agent: this.agent},
				interceptors: [authenticate],
				readMaxBytes: 64 * 1024 * 1024,
			}),
		);
	}

	/** Sends the state of this host and resolves with the state of the peer. */
	heartbeat(
		state: MessageInitShape<typeof HostStateSchema>,
	): ResultAsync<HostState, PeerError> {
		return this.call(async () => {
			const response = await this.client.heartbeat(
				{state},
				{timeoutMs: this.options.timeoutMilliseconds ?? 1000},
			);
			if (!response.state) {
				throw new PeerError(
					`The heartbeat response from ${this.options.address} contains no state.`,
				);
			}

			return response.state;
		});
	}

	/** Resolves with up to `limit` records of the control stream. Fails if the peer no longer retains the offset. */
	records(from: LogOffset, limit: number): ResultAsync<LogBatch, PeerError> {
		return this.call(async () => {
			const response = await this.client.fetchRecords(
				{stream: 'control', from: BigInt(from), limit},
				{timeoutMs: this.options.snapshotTimeoutMilliseconds ?? 5000},
			);
			if (!response.available) {
				throw new PeerError(
					`The peer ${this.options.address} does not retain records from offset ${from}.`,
				);
			}

			return {
				records: response.records.map((record) => ({
					offset: Number(record.offset) as LogOffset,
					id: record.id as RecordId,
					body: parseJson(record.body),
				})),
				next: Number(response.next) as LogOffset,
			};
		});
	}

	/** Resolves with a snapshot of the control state of the peer. The caller must validate it. */
	snapshot(): ResultAsync<unknown, PeerError> {
		return this.call(async () => {
			const response = await this.client.fetchSnapshot(
				{},
				{timeoutMs: this.options.snapshotTimeoutMilliseconds ?? 5000},
			);
			return parseJson(response.snapshot);
		});
	}

	dispose(): void {
		this.agent.destroy();
	}

	private call<T>(action: () => Promise<T>): ResultAsync<T, PeerError> {
		return ResultAsync.fromPromise(action(), (cause) =>
			cause instanceof PeerError
				? cause
				: new PeerError(
						`The call to the peer ${this.options.address} failed: ${cause instanceof Error ? cause.message : 'unknown error'}`,
						{cause},
					),
		);
	}
}

function parseJson(bytes: Uint8Array): unknown {
	return JSON.parse(new TextDecoder().decode(bytes)) as unknown;
}
