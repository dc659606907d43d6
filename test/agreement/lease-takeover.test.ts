import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {okAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type FencingToken,
	type HostId,
	type LogOffset,
} from '../../src/contracts/ids.js';
import {type PeerRecordSource} from '../../src/services/peer-record-source.js';
import {LeaseKeeper} from '../../src/services/lease-keeper.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';
import {groupLease, NoPeers, TestHost, waitUntil} from './harness.js';

const disposals: Array<() => Promise<void>> = [];
after(async () => {
	for (const dispose of disposals) {
		await dispose();
	}
});

/** Peers that have no newer records. */
class UpToDatePeers extends NoPeers {
	override records(from = 0 as LogOffset) {
		return okAsync({records: [], next: from});
	}
}

/** Two hosts with lease keepers that tick only when told to, over one log and one clock. */
class HostPair {
	readonly log = new MemoryLogService();
	readonly clock = new ManualClock(1000);
	readonly hosts: readonly TestHost[];
	readonly live: Set<HostId>;
	readonly keepers: readonly LeaseKeeper[];

	constructor(peers: PeerRecordSource = new NoPeers()) {
		this.hosts = ['host-a', 'host-b'].map(
			(name) =>
				new TestHost(this.log, name, {
					clock: this.clock,
					longPollMilliseconds: 500,
					peers,
				}),
		);
		this.live = new Set(this.hosts.map(({host}) => host));
		this.keepers = this.hosts.map(
			(host) =>
				new LeaseKeeper({
					...host.common,
					host: host.host,
					incarnation: host.incarnation,
					follower: host.follower,
					liveHosts: () => [...this.live],
					wanted: () => [groupLease],
				}),
		);
		disposals.push(async () => {
			await Promise.all(this.hosts.map(async (host) => host.dispose()));
		});
	}

	async waitUntilFollowing(): Promise<void> {
		await waitUntil(
			() =>
				this.hosts.every(
					({follower}) => follower.logReachableSince !== undefined,
				),
			'both hosts follow the log',
		);
	}

	/** Moves the clock in steps; after each one, the given keepers tick and the log answers. */
	async advance(milliseconds: number, keepers: readonly LeaseKeeper[]) {
		for (let passed = 0; passed < milliseconds; passed += 500) {
			this.clock.advance(500);
			await this.appendEmptyRecord();
			await Promise.all(keepers.map(async (keeper) => keeper.tick()));
		}
	}

	async acquire() {
		await this.waitUntilFollowing();
		await this.advance(3000, this.keepers);
		const holder = this.keepers.findIndex(({held}) => held.has(groupLease));
		const other = 1 - holder;
		return {
			holder: {host: this.hosts[holder]!, keeper: this.keepers[holder]!},
			other: {host: this.hosts[other]!, keeper: this.keepers[other]!},
		};
	}

	/** Appends a record that changes nothing, so that the followers hear the log at the present time. */
	private async appendEmptyRecord(): Promise<void> {
		const awake = this.hosts.filter((host) => !host.log.isPaused);
		const before = awake.map(({control}) => control.nextOffset);
		await this.log.append('control', [
			{id: `contact-${this.clock.wall()}` as never, body: null},
		]);
		await waitUntil(
			() =>
				awake.every(({control}, index) => control.nextOffset > before[index]!),
			'the hosts read the log',
		);
	}
}

// Guards against a lease that moves while its holder renews it.
test('one host holds a lease and keeps it', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	const token = holder.keeper.held.get(groupLease);
	await pair.advance(15_000, pair.keepers);
	assert.equal(holder.keeper.held.get(groupLease), token);
	assert.ok(holder.keeper.isConfirmed(groupLease));
	assert.equal(other.keeper.held.size, 0);
});

// Guards against two hosts acting on one lease, and against a paused holder that acts on an old token.
test('a paused holder loses its lease and its later records are ignored', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	const oldToken = holder.keeper.held.get(groupLease)!;
	const lost: FencingToken[] = [];
	holder.keeper.leaseLost.subscribe(({token}) => {
		lost.push(token);
	});
	await holder.host.edit('base');
	holder.host.log.pause();
	pair.live.delete(holder.host.host);
	await pair.advance(5000, [other.keeper]);
	assert.equal(other.keeper.held.size, 0, 'claimed before the lease expired');
	await pair.advance(4000, [other.keeper]);
	const newToken = other.keeper.held.get(groupLease)!;
	assert.ok(newToken > oldToken);

	// The holder resumes: by its own clock it must not act, before it has read anything.
	assert.equal(holder.keeper.held.size, 0);
	const late = holder.host.follower.submit({
		kind: 'orders-intended',
		lease: groupLease,
		token: oldToken,
		orders: [
			{
				orderId: 'late' as never,
				target: 'engine-1' as never,
				action: 'load',
				artifact: 'model/base@1' as never,
				bytes: 1,
			},
		],
	});
	holder.host.log.resume();
	const outcome = await late;
	assert.ok(outcome.isOk() && !outcome.value.accepted);
	assert.equal(outcome.value.code, 'stale-token');
	await holder.keeper.tick();
	assert.deepEqual(lost, [oldToken]);
	assert.equal(other.host.control.openIntents.size, 0);
});

// Guards against leases that change hands because nobody could renew during a log outage.
test('a log outage moves no lease', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	const token = holder.keeper.held.get(groupLease);
	pair.log.setOutage(true);
	await waitUntil(
		() => pair.hosts.every(({follower}) => follower.state === 'outage'),
		'both hosts notice the outage',
	);
	for (let seconds = 0; seconds < 30; seconds++) {
		pair.clock.advance(1000);
		void holder.keeper.tick();
		void other.keeper.tick();
	}

	// No peer confirms the fold of this host, so it may not act although nobody can claim.
	assert.equal(holder.keeper.held.size, 0);
	assert.ok(!holder.keeper.isConfirmed(groupLease));
	pair.log.setOutage(false);
	await pair.waitUntilFollowing();
	// The holder is the slower one to notice the end of the outage.
	await pair.advance(4000, [other.keeper]);
	assert.equal(other.keeper.held.size, 0, 'the outage counted as expiry');
	await pair.advance(4000, pair.keepers);
	assert.equal(holder.keeper.held.get(groupLease), token);
	assert.equal(other.keeper.held.size, 0);
});

// Guards against fenced targets without orders in a log outage, and against unconfirmed orders to unfenced ones.
test('a holder whose peers confirm its state keeps an unconfirmed lease in a log outage', async () => {
	const pair = new HostPair(new UpToDatePeers());
	const {holder} = await pair.acquire();
	pair.log.setOutage(true);
	for (let seconds = 0; seconds < 30; seconds++) {
		pair.clock.advance(1000);
		await waitUntil(
			() => holder.host.follower.lastCaughtUpAt === pair.clock.monotonic(),
			'a peer confirms the state',
		);
		void holder.keeper.tick();
	}

	assert.ok(holder.keeper.held.has(groupLease));
	assert.ok(!holder.keeper.isConfirmed(groupLease));

	// After a pause, the state must be confirmed again before the host acts.
	pair.clock.advance(3000);
	assert.equal(holder.keeper.held.size, 0, 'acts right after a pause');
	void holder.keeper.tick();
	assert.equal(holder.keeper.held.size, 0, 'acts before it read back');
	pair.clock.advance(1);
	await waitUntil(
		() => holder.keeper.held.has(groupLease),
		'a peer confirms the state after the pause',
	);
	pair.log.setOutage(false);
});

// Guards against a planned stop that leaves its leases unused until they expire.
test('a released lease is claimed at once', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	pair.live.delete(holder.host.host);
	await holder.keeper.releaseAll();
	assert.equal(holder.keeper.held.size, 0);
	await pair.advance(500, [other.keeper]);
	assert.ok(other.keeper.isConfirmed(groupLease));
});
