import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer as createPlainServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError, type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {ResultAsync} from 'neverthrow';
import {Disposable} from '../base/common/disposable.js';
import {TypedEvent} from '../base/common/typed-event.js';
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

/** Options of the peer server. */
export type PeerServerOptions = ServiceOptions & {
	readonly secret: string;
	/** Peers must then present a certificate of the same authority. */
	readonly tls?: PeerTls | undefined;
	readonly bindAddress: string;
	/** Zero lets the kernel choose. */
	readonly port: number;
	readonly follower: LogFollower;
	/** Returns the state of this host for the answer to a heartbeat with the given state. */
	readonly localState: (
		peer?: HostState,
	) => MessageInitShape<typeof HostStateSchema>;
	readonly maximumConnections?: number;
};

const maximumRequestBytes = 1024 * 1024;
const maximumRecordsPerAnswer = 1000;
// Bounds the memory of one answer. A single larger record is still sent.
const maximumBytesPerAnswer = 8 * 1024 * 1024;

/** Answers the calls of other hosts. Every call must carry the shared secret. */
export class PeerServer extends Disposable {
	/** Another host sent its state. */
	readonly heartbeatReceived = new TypedEvent<HostState>();

	private readonly server: Server;
	private readonly secretDigest: Uint8Array;

	constructor(private readonly options: PeerServerOptions) {
		super();
		this.secretDigest = digest(options.secret);
		const handler = connectNodeAdapter({
			routes: (router) => {
				this.addRoutes(router);
			},
			readMaxBytes: maximumRequestBytes,
		});
		const listener = (request: IncomingMessage, response: ServerResponse) => {
			if (this.isAuthentic(request)) {
				handler(request, response);
				return;
			}

			this.refuse(request, response);
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

	/** Listens and returns the port. */
	listen(): ResultAsync<number, PeerError> {
		return ResultAsync.fromPromise(
			new Promise<number>((resolve, reject) => {
				this.server.once('error', reject);
				this.server.listen(this.options.port, this.options.bindAddress, () => {
					this.server.off('error', reject);
					resolve((this.server.address() as AddressInfo).port);
				});
			}),
			(cause) => new PeerError('the peer server cannot listen', {cause}),
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
					throw new ConnectError('no state yet', Code.Unavailable);
				}

				return {next: BigInt(snapshot.next), snapshot: encodeJson(snapshot)};
			},
		});
	}

	private fetchRecords(stream: string, from: number, limit: number) {
		if (stream !== 'control') {
			throw new ConnectError('only control is kept', Code.InvalidArgument);
		}

		const kept = this.options.follower.recordsFrom(
			from as LogOffset,
			Math.min(limit, maximumRecordsPerAnswer),
		);
		const records = [];
		let bytes = 0;
		let {next} = kept;
		for (const record of kept.records) {
			const body = encodeJson(record.body);
			bytes += body.length;
			if (records.length > 0 && bytes > maximumBytesPerAnswer) {
				next = record.offset;
				break;
			}

			records.push({offset: BigInt(record.offset), id: record.id, body});
		}

		return {records, next: BigInt(next), available: kept.available};
	}

	private isAuthentic(request: IncomingMessage): boolean {
		const given = request.headers[peerSecretHeader];
		// Digests have equal length, so the comparison takes the same time for every secret.
		return (
			typeof given === 'string' &&
			timingSafeEqual(digest(given), this.secretDigest)
		);
	}

	private refuse(request: IncomingMessage, response: ServerResponse): void {
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

function digest(secret: string): Uint8Array {
	return createHash('sha256').update(secret).digest();
}

function encodeJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value));
}
