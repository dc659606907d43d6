import {type MessageInitShape} from '@bufbuild/protobuf';
import {type Disposable} from '../base/common/disposable.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {type HostList, type HostListEntry} from '../contracts/host-list.js';
import {
	type FailureDomain,
	type HostId,
	type IncarnationId,
} from '../contracts/ids.js';
import {
	type HostState,
	type HostStateSchema,
} from '../generated/daisylever/peer/v1/peer_pb.js';
import {
	defaultMembershipTimeouts,
	Membership,
	selectHeartbeatPeers,
	type Member,
	type MembershipTimeouts,
} from '../core/membership.js';
import {type LogFollower} from './log-follower.js';
import {type PeerDirectory} from './peer-directory.js';
import {type ServiceOptions} from './service-options.js';

/** The part of a heartbeat that other components of this host provide. */
export type HostLoad = Pick<
	MessageInitShape<typeof HostStateSchema>,
	| 'callerLoads'
	| 'demands'
	| 'observations'
	| 'sightings'
	| 'reservedTargets'
	| 'wantsReports'
> & {readonly ready: boolean};

/** Options of the membership task. */
export type MembershipTaskOptions = ServiceOptions & {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly failureDomain: FailureDomain;
	readonly peerAddress: string;
	readonly follower: LogFollower;
	readonly directory: PeerDirectory;
	readonly hostList: HostList;
	readonly seedAddresses: readonly string[];
	/** Given the last state of the host that gets the heartbeat, if it is known. */
	readonly getHostLoad: (peer?: HostState) => HostLoad;
	readonly timeouts?: MembershipTimeouts;
	readonly heartbeatIntervalMilliseconds?: number;
	/** Peers that get heartbeats in a large fleet, besides the lease holders. */
	readonly maximumPeers?: number;
	readonly hostListIntervalMilliseconds?: number;
};

/** Announces this host, exchanges heartbeats and knows which other hosts are live. */
export class MembershipTask implements Disposable {
	/** Another host changed its status. */
	readonly memberChanged = new TypedEvent<Member>();
	/** Another host sent its state, in a call or in an answer. */
	readonly heartbeatReceived = new TypedEvent<HostState>();
	/** The host list was read. */
	readonly hostListRead = new TypedEvent<readonly HostListEntry[]>();
	/** True: this host became isolated and must refuse new work. False: it hears others again. */
	readonly isolationChanged = new TypedEvent<boolean>();

	private readonly membership: Membership;
	private readonly statuses = new Map<HostId, string>();
	private readonly states = new Map<HostId, HostState>();
	private readonly calling = new Set<string>();
	private timer: NodeJS.Timeout | undefined;
	private announcing = false;
	private announced = false;
	private superseded = false;
	private leaving = false;
	private isolated = false;
	private listing = false;
	private sequence = 0n;
	private listedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: MembershipTaskOptions) {
		this.membership = new Membership(
			options.host,
			options.clock.monotonic(),
			options.timeouts ?? defaultMembershipTimeouts,
		);
	}

	/** True after a planned stop began. */
	get isLeaving(): boolean {
		return this.leaving;
	}

	/** All other known hosts. */
	get members(): Member[] {
		return this.membership.members(this.options.clock.monotonic());
	}

	/** The hosts that may hold leases: the live ones, and this one unless it leaves. */
	get leaseCandidates(): HostId[] {
		const others = this.membership.liveHosts(this.options.clock.monotonic());
		const own = this.leaving || this.isIsolated ? [] : [this.options.host];
		return [...own, ...others];
	}

	/** True when the document on this host may be stale. Checked against the clock at each call. */
	get isIsolated(): boolean {
		const {follower, clock} = this.options;
		if (follower.lastLogContactAt !== undefined) {
			this.membership.observeLogContact(follower.lastLogContactAt);
		}

		return this.membership.isIsolated(clock.monotonic());
	}

	/** Returns the newest state that a host sent. */
	stateOf(host: HostId): HostState | undefined {
		return this.states.get(host);
	}

	/** Starts to tick. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.tick();
		}, this.options.heartbeatIntervalMilliseconds ?? 1000);
	}

	/** Sends one round of heartbeats. Resolves when all were answered or failed. */
	async tick(): Promise<void> {
		const {follower, clock} = this.options;
		const now = clock.monotonic();
		this.membership.observeRecords(follower.control.hosts.values(), now);
		this.membership.removeGoneHosts(now);
		void this.announce();
		void this.refreshHostList(now);
		const states = this.statesByAddress();
		await Promise.all(
			this.heartbeatAddresses().map(async (address) =>
				this.sendHeartbeat(address, states.get(address)),
			),
		);
		this.evaluate();
	}

	/** Sends the state of this host to its peers at once, for news that can't wait for the next round. */
	async sendNow(): Promise<void> {
		const states = this.statesByAddress();
		await Promise.all(
			this.heartbeatAddresses().map(async (address) =>
				this.call(address, states.get(address)),
			),
		);
	}

	/** Returns the state of this host for a heartbeat to a peer, whose last state is given if it is known. */
	localState(peer?: HostState): MessageInitShape<typeof HostStateSchema> {
		const {follower} = this.options;
		const {ready, ...load} = this.options.getHostLoad(peer);
		this.sequence += 1n;
		return {
			sequence: this.sequence,
			host: this.options.host,
			incarnation: this.options.incarnation,
			failureDomain: this.options.failureDomain,
			peerAddress: this.options.peerAddress,
			controlOffset: BigInt(follower.control.nextOffset),
			revision: BigInt(follower.control.revision),
			ready: ready && !this.isIsolated,
			leaving: this.leaving,
			logReachable: follower.logReachableSince !== undefined,
			...load,
		};
	}

	/** Takes the state of another host, from its call or its answer. */
	receive(state: HostState): void {
		const {clock, directory} = this.options;
		const accepted = this.membership.observeHeartbeat(
			{
				host: state.host as HostId,
				incarnation: state.incarnation as IncarnationId,
				failureDomain: state.failureDomain as FailureDomain,
				peerAddress: state.peerAddress,
				leaving: state.leaving,
			},
			clock.monotonic(),
		);
		const known = this.states.get(state.host as HostId);
		const isOlder =
			known?.incarnation === state.incarnation &&
			known.sequence > state.sequence;
		if (!accepted || isOlder) {
			return;
		}

		this.states.set(state.host as HostId, state);
		directory.setControlOffset(state.peerAddress, Number(state.controlOffset));
		this.heartbeatReceived.publish(state);
	}

	/** Marks this host as leaving, for a planned stop, and tells the peers. */
	async leave(): Promise<void> {
		this.leaving = true;
		await this.tick();
	}

	/** Records that this host stopped. Call it last, after the leases were released. */
	async recordStop(): Promise<void> {
		const {follower, host, incarnation, clock} = this.options;
		await follower.submit({
			kind: 'host-stopped',
			host,
			incarnation,
			time: clock.wall(),
		});
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	private async announce(): Promise<void> {
		const {follower, host, incarnation, clock, events} = this.options;
		const recorded = follower.control.hosts.get(host);
		if (recorded?.incarnation === incarnation) {
			this.announced = true;
			return;
		}

		if (this.announced) {
			// The record was folded before, so the one in force belongs to a later run.
			if (recorded && !this.superseded) {
				this.superseded = true;
				events.record(agreementEvents.hostSuperseded, {
					incarnation: recorded.incarnation,
				});
			}

			return;
		}

		if (this.announcing || this.leaving || follower.state !== 'following') {
			return;
		}

		this.announcing = true;
		await follower.submit({
			kind: 'host-started',
			host,
			incarnation,
			failureDomain: this.options.failureDomain,
			peerAddress: this.options.peerAddress,
			time: clock.wall(),
		});
		this.announcing = false;
	}

	private async refreshHostList(now: number): Promise<void> {
		const interval = this.options.hostListIntervalMilliseconds ?? 1000;
		if (this.listing || now - this.listedAt < interval) {
			return;
		}

		this.listing = true;
		this.listedAt = now;
		const result = await this.options.hostList.list();
		this.listing = false;
		if (result.isOk()) {
			this.membership.observeHostList(result.value);
			this.hostListRead.publish(result.value);
		}
	}

	private heartbeatAddresses(): string[] {
		const {follower, host, directory, peerAddress} = this.options;
		const members = this.members.filter((member) => !member.stopped);
		const owners = [...follower.control.leases.values()]
			.filter((lease) => !lease.released)
			.map((lease) => lease.holder);
		const selected = new Set(
			selectHeartbeatPeers(
				host,
				members.map((member) => member.host),
				owners,
				this.options.maximumPeers ?? 16,
			),
		);
		this.membership.setMonitoredHosts(selected, this.options.clock.monotonic());
		const addresses = new Set(
			members
				.filter(
					(member) => selected.has(member.host) && this.isDue(member.status),
				)
				.map((member) => member.peerAddress),
		);
		const isHeard = members.some(
			(member) => member.status === 'live' || member.status === 'leaving',
		);
		if (!isHeard) {
			for (const seed of this.options.seedAddresses) {
				addresses.add(seed);
			}
		}

		addresses.delete(peerAddress);
		directory.retain(addresses);
		return [...addresses];
	}

	// Two hosts that lost contact for long must find each other again, but dead hosts should cost little.
	private isDue(status: Member['status']): boolean {
		return status !== 'gone' || this.options.random.integer(10) === 0;
	}

	private async sendHeartbeat(
		address: string,
		peer: HostState | undefined,
	): Promise<void> {
		if (this.calling.has(address)) {
			return;
		}

		this.calling.add(address);
		await this.call(address, peer);
		this.calling.delete(address);
	}

	private statesByAddress(): Map<string, HostState> {
		return new Map(
			[...this.states.values()].map((state) => [state.peerAddress, state]),
		);
	}

	private async call(
		address: string,
		peer: HostState | undefined,
	): Promise<void> {
		const result = await this.options.directory
			.client(address)
			.heartbeat(this.localState(peer));
		this.options.metrics.count('daisylever_heartbeats_total', {
			result: result.isOk() ? 'answered' : 'failed',
		});
		if (result.isOk()) {
			this.receive(result.value);
		}
	}

	private evaluate(): void {
		const {events, metrics} = this.options;
		const {members, isIsolated} = this;
		for (const member of members) {
			if (this.statuses.get(member.host) === member.status) {
				continue;
			}

			this.statuses.set(member.host, member.status);
			events.record(agreementEvents.memberChanged, {
				host: member.host,
				incarnation: member.incarnation,
				status: member.status,
			});
			this.memberChanged.publish(member);
		}

		metrics.gauge(
			'daisylever_live_peers',
			members.filter((member) => member.status === 'live').length,
		);
		if (isIsolated !== this.isolated) {
			this.isolated = isIsolated;
			events.record(
				isIsolated
					? agreementEvents.hostIsolated
					: agreementEvents.hostReconnected,
			);
			this.isolationChanged.publish(isIsolated);
		}
	}
}
