import {Agent, type ClientRequestArgs} from 'node:http';
import {type Socket} from 'node:net';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Disposable} from '../../../base/common/disposable.js';
import {PeerForwardingService} from '../../../generated/daisylever/forwarding/v1/forwarding_pb.js';

/** Connections to one peer. Each carries one request at a time, and all requests of a pool may go to one peer. */
const maximumConnectionsPerPeer = 500;
/** Idle connections to all peers together. */
const maximumIdleConnections = 100;
/** Time after which an idle connection is closed. Less than the 5 s after which the peer closes it, so that no request is sent on a connection that is being closed. */
const idleTimeoutMilliseconds = 3000;
/** Connect timeout. A host on the same network accepts within milliseconds. */
const connectTimeoutMilliseconds = 400;

/** Connections to the hosts to which this one forwards requests, apart from those for reports. */
export class PeerConnections extends Disposable {
	private readonly agent = new ConnectTimeoutAgent({
		keepAlive: true,
		maxSockets: maximumConnectionsPerPeer,
		maxFreeSockets: maximumIdleConnections,
		timeout: idleTimeoutMilliseconds,
		noDelay: true,
	});

	private readonly clients = new Map<
		string,
		Client<typeof PeerForwardingService>
	>();

	/** Returns the client for the peer at an address. */
	get(address: string): Client<typeof PeerForwardingService> {
		let client = this.clients.get(address);
		if (!client) {
			client = createClient(
				PeerForwardingService,
				createConnectTransport({
					baseUrl: `http://${address}`,
					httpVersion: '1.1',
					nodeOptions: {agent: this.agent},
					// Events are short, and hosts are on one network.
					acceptCompression: [],
				}),
			);
			this.clients.set(address, client);
		}

		return client;
	}

	dispose(): void {
		this.agent.destroy();
	}
}

/** True when a call failed before its connection was open, so that no byte of it was sent. */
export function isConnectFailure(error: unknown): boolean {
	if (!(error instanceof Error)) {
		return false;
	}

	return (
		('syscall' in error && error.syscall === 'connect') ||
		isConnectFailure(error.cause)
	);
}

/** The connection to a peer was not accepted in time. */
class ConnectTimeoutError extends Error {
	override readonly name = 'ConnectTimeoutError';
	readonly code = 'ETIMEDOUT';
	readonly syscall = 'connect';
}

/** Closes connections that are not accepted in time. */
class ConnectTimeoutAgent extends Agent {
	override createConnection(
		options: ClientRequestArgs,
		callback?: (error: Error | null, stream: Socket) => void,
	): Socket {
		// @ts-expect-error The types of Node.js 20 lack this method of the class.
		const socket = super.createConnection(options, callback) as Socket;
		const timer = setTimeout(() => {
			socket.destroy(
				new ConnectTimeoutError('the peer did not accept the connection'),
			);
		}, connectTimeoutMilliseconds);
		const stop = () => {
			clearTimeout(timer);
		};

		socket.once('connect', stop);
		socket.once('close', stop);
		return socket;
	}
}
