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
} from '../core/membership/membership.js';
import {type LogFollower} from './log-follower.js';
import {type PeerDirectory} from './peer-directory.js';
import {type ServiceOptions} from './service-options.js';

/** The part of a heartbeat that other services of this host provide. */
export type HostLoad = Pick<
	MessageInitShape<typeof HostStateSchema>,
	| 'callerLoads'
	| 'demands'
	| 'observations'
	| 'sightings'
	| 'soundFingerprints'
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
	/** Peer addresses that receive heartbeats while no other host is live. */
	readonly seedAddresses: readonly string[];
	/** Returns the load for a heartbeat. `peer` is the last state received from the recipient, if any. */
	readonly getHostLoad: (peer?: HostState) => HostLoad;
	readonly timeouts?: MembershipTimeouts;
	/** Interval between rounds of heartbeats. Default: 1000. */
	readonly heartbeatIntervalMilliseconds?: number;
	/** Maximum number of peers that receive heartbeats besides the lease holders. Default: 16. */
	readonly maximumPeers?: number;
	/** Minimum interval between reads of the host list. Default: 1000. */
	readonly hostListIntervalMilliseconds?: number;
};

/** Records the start of this host, exchanges heartbeats with peers and tracks which hosts are live. */
export class MembershipTask implements Disposable {
	/** The status of another host changed. */
	readonly memberChanged = new TypedEvent<Member>();
	/** Another host sent its state, in a request or in a response. */
	readonly heartbeatReceived = new TypedEvent<HostState>();
	/** The host list was read. */
	readonly hostListRead = new TypedEvent<readonly HostListEntry[]>();
	/** True: this host became isolated and must refuse new work. False: it reaches the log or a peer again. */
	readonly isolationChanged = new TypedEvent<boolean>();

	private readonly membership: Membership;
	private readonly statuses = new Map<HostId, string>();
	private readonly states = new Map<HostId, HostState>();
	private readonly pendingAddresses = new Set<string>();
	private timer: NodeJS.Timeout | undefined;
	private isRecordingStart = false;
	private isStartRecorded = false;
	private isSuperseded = false;
	private leaving = false;
	private wasIsolated = false;
	private isReadingHostList = false;
	private sequence = 0n;
	private hostListRequestedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: MembershipTaskOptions) {
		this.membership = new Membership(
			options.host,
			options.clock.monotonic(),
			options.timeouts ?? defaultMembershipTimeouts,
		);
	}

	/** True once a planned stop has begun. */
	get isLeaving(): boolean {
		return this.leaving;
	}

	/** All tracked hosts other than this one. */
	get members(): Member[] {
		return this.membership.members(this.options.clock.monotonic());
	}

	/** Hosts that may hold leases: all live hosts, including this one unless it is leaving or isolated. */
	get leaseCandidates(): HostId[] {
		const others = this.membership.liveHosts(this.options.clock.monotonic());
		const own = this.leaving || this.isIsolated ? [] : [this.options.host];
		return [...own, ...others];
	}

	/** True if this host has had no contact to the log or any peer for so long that its document may be stale. Evaluated against the clock at each call. */
	get isIsolated(): boolean {
		const {follower, clock} = this.options;
		if (follower.lastLogContactAt !== undefined) {
			this.membership.observeLogContact(follower.lastLogContactAt);
		}

		return this.membership.isIsolated(clock.monotonic());
	}

	/** Returns the last state received from a host, or undefined if none was received. */
	stateOf(host: HostId): HostState | undefined {
		return this.states.get(host);
	}

	/** Starts the periodic heartbeats. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.tick();
		}, this.options.heartbeatIntervalMilliseconds ?? 1000);
	}

	/** Sends one round of heartbeats. Resolves when all of them succeeded or failed. */
	async tick(): Promise<void> {
		const {follower, clock} = this.options;
		const now = clock.monotonic();
		this.membership.observeRecords(follower.control.hosts.values(), now);
		this.membership.removeGoneHosts(now);
		void this.recordStart();
		void this.readHostList(now);
		const states = this.statesByAddress();
		await Promise.all(
			this.heartbeatAddresses().map(async (address) =>
				this.sendHeartbeat(address, states.get(address)),
			),
		);
		this.publishChanges();
	}

	/** Sends the state of this host to its peers immediately, for changes that must not wait for the next round. */
	async sendNow(): Promise<void> {
		const states = this.statesByAddress();
		await Promise.all(
			this.heartbeatAddresses().map(async (address) =>
				this.exchangeStates(address, states.get(address)),
			),
		);
	}

	/** Returns the state of this host for a heartbeat. `peer` is the last state received from the recipient, if any. */
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

	/** Processes the state of another host, from its request or its response. Ignores states older than the last one. */
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
		const previous = this.states.get(state.host as HostId);
		const isOlder =
			previous?.incarnation === state.incarnation &&
			previous.sequence > state.sequence;
		if (!accepted || isOlder) {
			return;
		}

		this.states.set(state.host as HostId, state);
		directory.setControlOffset(state.peerAddress, Number(state.controlOffset));
		this.heartbeatReceived.publish(state);
	}

	/** Marks this host as leaving for a planned stop and notifies the peers. */
	async leave(): Promise<void> {
		this.leaving = true;
		await this.tick();
	}

	/** Records that this host has stopped. Must be called last, after the leases were released. */
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

	private async recordStart(): Promise<void> {
		const {follower, host, incarnation, clock, events} = this.options;
		const recorded = follower.control.hosts.get(host);
		if (recorded?.incarnation === incarnation) {
			this.isStartRecorded = true;
			return;
		}

		if (this.isStartRecorded) {
			// The start record of this process was applied earlier, so the current one belongs to a later process.
			if (recorded && !this.isSuperseded) {
				this.isSuperseded = true;
				events.record(agreementEvents.hostSuperseded, {
					incarnation: recorded.incarnation,
				});
			}

			return;
		}

		if (
			this.isRecordingStart ||
			this.leaving ||
			follower.state !== 'following'
		) {
			return;
		}

		this.isRecordingStart = true;
		await follower.submit({
			kind: 'host-started',
			host,
			incarnation,
			failureDomain: this.options.failureDomain,
			peerAddress: this.options.peerAddress,
			time: clock.wall(),
		});
		this.isRecordingStart = false;
	}

	private async readHostList(now: number): Promise<void> {
		const interval = this.options.hostListIntervalMilliseconds ?? 1000;
		if (this.isReadingHostList || now - this.hostListRequestedAt < interval) {
			return;
		}

		this.isReadingHostList = true;
		this.hostListRequestedAt = now;
		const result = await this.options.hostList.list();
		this.isReadingHostList = false;
		if (result.isOk()) {
			this.membership.observeHostList(result.value);
			this.hostListRead.publish(result.value);
		}
	}

	private heartbeatAddresses(): string[] {
		const {follower, host, directory, peerAddress} = this.options;
		const members = this.members.filter((member) => !member.stopped);
		const leaseHolders = [...follower.control.leases.values()]
			.filter((lease) => !lease.released)
			.map((lease) => lease.holder);
		const selected = new Set(
			selectHeartbeatPeers(
				host,
				members.map((member) => member.host),
				leaseHolders,
				this.options.maximumPeers ?? 16,
			),
		);
		this.membership.setMonitoredHosts(selected, this.options.clock.monotonic());
		const addresses = new Set(
			members
				.filter(
					(member) =>
						selected.has(member.host) && this.isHeartbeatDue(member.status),
				)
				.map((member) => member.peerAddress),
		);
		const hasReachablePeer = members.some(
			(member) => member.status === 'live' || member.status === 'leaving',
		);
		if (!hasReachablePeer) {
			for (const seed of this.options.seedAddresses) {
				addresses.add(seed);
			}
		}

		addresses.delete(peerAddress);
		directory.retain(addresses);
		return [...addresses];
	}

	// A host that is gone receives one in ten heartbeats: hosts that lost contact for a long time must
	// find each other again, but stopped hosts must cost little.
	private isHeartbeatDue(status: Member['status']): boolean {
		return status !== 'gone' || this.options.random.integer(10) === 0;
	}

	private async sendHeartbeat(
		address: string,
		peer: HostState | undefined,
	): Promise<void> {
		if (this.pendingAddresses.has(address)) {
			return;
		}

		this.pendingAddresses.add(address);
		await this.exchangeStates(address, peer);
		this.pendingAddresses.delete(address);
	}

	private statesByAddress(): Map<string, HostState> {
		return new Map(
			[...this.states.values()].map((state) => [state.peerAddress, state]),
		);
	}

	private async exchangeStates(
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

	private publishChanges(): void {
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
		if (isIsolated !== this.wasIsolated) {
			this.wasIsolated = isIsolated;
			events.record(
				isIsolated
					? agreementEvents.hostIsolated
					: agreementEvents.hostReconnected,
			);
			this.isolationChanged.publish(isIsolated);
		}
	}
}
