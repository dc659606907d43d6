import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer as createPlainServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError, type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {ResultAsync} from 'neverthrow';
import {Disposable} from '../base/common/disposable.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {listenOn, type ListenOptions} from '../base/node/listen.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {type LogOffset} from '../contracts/ids.js';
import {
	PeerService,
	type HostState,
	type HostStateSchema,
} from '../generated/daisylever/peer/v1/peer_pb.js';
import {type LogFollower} from './log-follower.js';
import {peerSecretHeader, type PeerTls} from './peer-client.js';
import {PeerError} from './peer-record-source.js';
import {type ServiceOptions} from './service-options.js';

/** Options of a peer server. */
export type PeerServerOptions = ServiceOptions & {
	readonly secret: string;
	/** If set, the server uses TLS and requires client certificates of the same authority. */
	readonly tls?: PeerTls | undefined;
	readonly bindAddress: string;
	/** Port to listen on. With zero the operating system chooses a free one. */
	readonly port: number;
	readonly follower: LogFollower;
	/** Returns the state of this host for the response to a heartbeat. `peer` is the state in the heartbeat. */
	readonly localState: (
		peer?: HostState,
	) => MessageInitShape<typeof HostStateSchema>;
	/** Maximum number of open connections. Default: 1024. */
	readonly maximumConnections?: number;
};

const maximumRequestBytes = 1024 * 1024;
const maximumRecordsPerResponse = 1000;
// Bounds the memory of one response. A single record is sent even if it is larger.
const maximumBytesPerResponse = 8 * 1024 * 1024;

/** Serves heartbeats, control records and snapshots to other hosts. Every call must carry the shared secret. */
export class PeerServer extends Disposable {
	/** Another host sent its state in a heartbeat. */
	readonly heartbeatReceived = new TypedEvent<HostState>();

	private readonly server: Server;
	private readonly secretDigest: Uint8Array;

	constructor(private readonly options: PeerServerOptions) {
		super();
		this.secretDigest = sha256Digest(options.secret);
		const handler = connectNodeAdapter({
			routes: (router) => {
				this.addRoutes(router);
			},
			readMaxBytes: maximumRequestBytes,
		});
		const listener = (request: IncomingMessage, response: ServerResponse) => {
			if (this.isAuthenticated(request)) {
				handler(request, response);
				return;
			}

			this.rejectUnauthenticated(request, response);
		};

		const {tls} = options;
		this.server = tls
			? createTlsServer(
					{
						cert: tls.certificate,
						key: tls.key,
						ca: tls.authority,
						minVersion: 'TLSv1.2',
						requestCert: true,
						rejectUnauthorized: true,
					},
					listener,
				)
			: createPlainServer(listener);
		this.server.maxConnections = options.maximumConnections ?? 1024;
		this.server.headersTimeout = 10_000;
		this.server.requestTimeout = 30_000;
		this.server.on('error', (error) => {
			options.events.record(agreementEvents.peerServerFailed, {
				error: error.message,
			});
		});
	}

	/** Starts listening and resolves with the port. */
	listen(options?: ListenOptions): ResultAsync<number, PeerError> {
		const {port, bindAddress} = this.options;
		return new ResultAsync(
			listenOn(this.server, port, bindAddress, options),
		).mapErr(
			(cause) =>
				new PeerError(
					`The peer server could not listen on ${bindAddress}:${port}.`,
					{cause},
				),
		);
	}

	async dispose(): Promise<void> {
		if (!this.server.listening) {
			return;
		}

		await new Promise<void>((resolve) => {
			this.server.close(() => {
				resolve();
			});
			this.server.closeAllConnections();
		});
	}

	private addRoutes(router: ConnectRouter): void {
		router.service(PeerService, {
			heartbeat: (request) => {
				this.options.metrics.count('daisylever_peer_calls_total', {
					call: 'heartbeat',
				});
				if (request.state) {
					this.heartbeatReceived.publish(request.state);
				}

				return {state: this.options.localState(request.state)};
			},
			fetchRecords: (request) => {
				this.options.metrics.count('daisylever_peer_calls_total', {
					call: 'records',
				});
				return this.fetchRecords(
					request.stream,
					Number(request.from),
					request.limit,
				);
			},
			fetchSnapshot: () => {
				this.options.metrics.count('daisylever_peer_calls_total', {
					call: 'snapshot',
				});
				const snapshot = this.options.follower.snapshot();
				if (!snapshot) {
					throw new ConnectError(
						'This host has not restored its control state yet.',
						Code.Unavailable,
					);
				}

				return {next: BigInt(snapshot.next), snapshot: encodeJson(snapshot)};
			},
		});
	}

	private fetchRecords(stream: string, from: number, limit: number) {
		if (stream !== 'control') {
			throw new ConnectError(
				`Stream "${stream}" was requested, but only the stream "control" is available.`,
				Code.InvalidArgument,
			);
		}

		const retained = this.options.follower.recordsFrom(
			from as LogOffset,
			Math.min(limit, maximumRecordsPerResponse),
		);
		const records = [];
		let bytes = 0;
		let {next} = retained;
		for (const record of retained.records) {
			const body = encodeJson(record.body);
			bytes += body.length;
			if (records.length > 0 && bytes > maximumBytesPerResponse) {
				next = record.offset;
				break;
			}

			records.push({offset: BigInt(record.offset), id: record.id, body});
		}

		return {records, next: BigInt(next), available: retained.available};
	}

	private isAuthenticated(request: IncomingMessage): boolean {
		const presentedSecret = request.headers[peerSecretHeader];
		// The secrets are compared as digests of equal length, so the comparison time does not depend on the secret.
		return (
			typeof presentedSecret === 'string' &&
			timingSafeEqual(sha256Digest(presentedSecret), this.secretDigest)
		);
	}

	private rejectUnauthenticated(
		request: IncomingMessage,
		response: ServerResponse,
	): void {
		this.options.metrics.count('daisylever_peer_refusals_total');
		this.options.events.record(agreementEvents.peerRefused, {
			remote: request.socket.remoteAddress,
		});
		response.writeHead(401, {
			'content-type': 'application/json',
			connection: 'close',
		});
		response.end('{"code":"unauthenticated"}');
	}
}

function sha256Digest(secret: string): Uint8Array {
	return createHash('sha256').update(secret).digest();
}

function encodeJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value));
}
