import {createServer, type RequestListener, type Server} from 'node:http';
import {type MessageInitShape} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {Disposable} from '../../base/common/disposable.js';
import {listenOn} from '../../base/node/listen.js';
import {type HostId, type LeaseName} from '../../contracts/ids.js';
import {selectHeartbeatPeers} from '../../core/membership/membership.js';
import {
	PeerService,
	type HostStateSchema,
} from '../../generated/daisylever/peer/v1/peer_pb.js';
import {ObservationEncoder} from '../../services/observation-codec.js';
import {PeerClient} from '../../services/peer-client.js';
import {locateTarget} from './fleet-document.js';
import {names, type FleetShape} from './fleet-shape.js';
import {type SimulatedEngines} from './simulated-engines.js';

// Design scale: about 8600 requests in flight on 370 nodes.
const loadsPerHost = 20;
const maximumPeers = 16;

/** Options of the simulated peers. */
export type SimulatedPeersOptions = {
	readonly shape: FleetShape;
	readonly hosts: readonly HostId[];
	readonly measured: HostId;
	/** Holder of each lease, including the measured node. */
	readonly holders: ReadonlyMap<LeaseName, HostId>;
	readonly engines: SimulatedEngines;
	readonly secret: string;
	readonly nextOffset: () => number;
};

/** Simulates the other hosts of the fleet for the measured node: they respond to its heartbeats and send their own. */
export class SimulatedPeers extends Disposable {
	address = '';
	private readonly server: Server;
	private readonly handlers = new Map<string, RequestListener>();
	private readonly timers: NodeJS.Timeout[] = [];
	private readonly clients: PeerClient[] = [];
	private readonly encoder = new ObservationEncoder();
	/** Whether the last heartbeat of the measured node requested full reports. */
	private wantsReports = false;
	private readonly ownedTargets: ReadonlyMap<HostId, readonly string[]>;

	constructor(private readonly options: SimulatedPeersOptions) {
		super();
		this.ownedTargets = targetsByOwner(options);
		this.server = createServer((request, response) => {
			const [, host, ...rest] = (request.url ?? '').split('/');
			request.url = `/${rest.join('/')}`;
			this.handlerOf(host as HostId)(request, response);
		});
		this.server.keepAliveTimeout = 60_000;
	}

	/** Listens on one port for all peers and sets `address`. Throws if the server cannot listen. */
	async start(): Promise<void> {
		const port = await listenOn(this.server, 0, '127.0.0.1');
		this.address = `http://127.0.0.1:${port._unsafeUnwrap()}`;
	}

	/** Sends the heartbeats that real hosts would send to the measured node, one per second and host, evenly staggered. */
	beginHeartbeats(address: string): void {
		const {hosts, holders, measured, secret} = this.options;
		const allHosts = [...hosts, measured];
		const owners = [...holders.values()];
		const senders = hosts.filter((host) =>
			selectHeartbeatPeers(host, allHosts, owners, maximumPeers).includes(
				measured,
			),
		);
		for (const [index, host] of senders.entries()) {
			const client = new PeerClient({address, secret});
			this.clients.push(client);
			this.timers.push(
				setTimeout(
					() => {
						this.timers.push(
							setInterval(() => {
								void client.heartbeat(this.stateOf(host));
							}, 1000),
						);
					},
					(1000 * index) / senders.length,
				),
			);
		}
	}

	dispose(): void {
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		for (const client of this.clients) {
			client.dispose();
		}

		this.server.closeAllConnections();
		this.server.close();
	}

	private handlerOf(host: HostId): RequestListener {
		let handler = this.handlers.get(host);
		if (!handler) {
			handler = connectNodeAdapter({
				routes: (router) => {
					router.service(PeerService, {
						heartbeat: (request) => {
							this.wantsReports = request.state?.wantsReports ?? false;
							return {state: this.stateOf(host)};
						},
					});
				},
			});
			this.handlers.set(host, handler);
		}

		return handler;
	}

	private stateOf(host: HostId): MessageInitShape<typeof HostStateSchema> {
		const {shape, nextOffset} = this.options;
		return {
			host,
			incarnation: `${host}-run`,
			failureDomain: 'domain-0',
			peerAddress: `${this.address}/${host}`,
			controlOffset: BigInt(nextOffset()),
			revision: 1n,
			ready: true,
			logReachable: true,
			callerLoads: names('caller', loadsPerHost).map((caller) => ({
				caller,
				inFlight: 1,
				pool: 'pool-0',
			})),
			demands: names('model', Math.min(loadsPerHost, shape.models)).map(
				(model) => ({model, requests: 1}),
			),
			observations: this.observationsOf(host),
		};
	}

	private observationsOf(
		host: HostId,
	): MessageInitShape<typeof HostStateSchema>['observations'] {
		return (this.ownedTargets.get(host) ?? []).map((target) =>
			this.encoder.encode(this.options.engines.report(target), {
				ageMilliseconds: 100,
				now: performance.now(),
				includeReport: this.wantsReports,
			}),
		);
	}
}

function targetsByOwner({
	shape,
	holders,
}: SimulatedPeersOptions): Map<HostId, string[]> {
	const targetsByHolder = new Map<HostId, string[]>();
	for (const [index, target] of names('target', shape.targets).entries()) {
		const {pool, domain} = locateTarget(shape, index);
		const holder = holders.get(`group/${pool}/${domain}` as LeaseName);
		if (holder) {
			const targets = targetsByHolder.get(holder) ?? [];
			targets.push(target);
			targetsByHolder.set(holder, targets);
		}
	}

	return targetsByHolder;
}
