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
import {LeaseManager} from '../../src/services/lease-manager.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';
import {
	groupLease,
	EmptyPeerRecordSource,
	TestHost,
	waitUntil,
} from './harness.js';

const disposals: Array<() => Promise<void>> = [];
after(async () => {
	for (const dispose of disposals) {
		await dispose();
	}
});

/** Peers that respond but have no newer records. */
class UpToDatePeers extends EmptyPeerRecordSource {
	override records(from = 0 as LogOffset) {
		return okAsync({records: [], next: from});
	}
}

/** Two hosts with a shared log and clock. Their lease managers tick only on request. */
class HostPair {
	readonly log = new MemoryLogService();
	readonly clock = new ManualClock(1000);
	readonly hosts: readonly TestHost[];
	readonly live: Set<HostId>;
	readonly managers: readonly LeaseManager[];

	constructor(peers: PeerRecordSource = new EmptyPeerRecordSource()) {
		this.hosts = ['host-a', 'host-b'].map(
			(name) =>
				new TestHost(this.log, name, {
					clock: this.clock,
					longPollMilliseconds: 500,
					peers,
				}),
		);
		this.live = new Set(this.hosts.map(({host}) => host));
		this.managers = this.hosts.map(
			(host) =>
				new LeaseManager({
					...host.common,
					host: host.host,
					incarnation: host.incarnation,
					follower: host.follower,
					liveHosts: () => [...this.live],
					requiredLeases: () => [groupLease],
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

	/** Advances the clock in steps of 500 ms. After each step, the hosts read the log and the given lease managers tick. */
	async advance(milliseconds: number, managers: readonly LeaseManager[]) {
		for (let passed = 0; passed < milliseconds; passed += 500) {
			this.clock.advance(500);
			await this.appendEmptyRecord();
			await Promise.all(managers.map(async (manager) => manager.tick()));
		}
	}

	async acquire() {
		await this.waitUntilFollowing();
		await this.advance(3000, this.managers);
		const holder = this.managers.findIndex(({heldLeases: held}) =>
			held.has(groupLease),
		);
		const other = 1 - holder;
		return {
			holder: {host: this.hosts[holder]!, manager: this.managers[holder]!},
			other: {host: this.hosts[other]!, manager: this.managers[other]!},
		};
	}

	/** Appends a record without effect, so that the followers have contact with the log at the current time. */
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

test('a lease that its holder renews does not move to another host', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	const token = holder.manager.heldLeases.get(groupLease);
	await pair.advance(15_000, pair.managers);
	assert.equal(holder.manager.heldLeases.get(groupLease), token);
	assert.ok(holder.manager.isConfirmed(groupLease));
	assert.equal(other.manager.heldLeases.size, 0);
});

// Guards against two hosts that act on the same lease, and against a paused holder that acts on an old token.
test('a paused holder loses its lease and its later records are ignored', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	const oldToken = holder.manager.heldLeases.get(groupLease)!;
	const lost: FencingToken[] = [];
	holder.manager.leaseLost.subscribe(({token}) => {
		lost.push(token);
	});
	await holder.host.edit('base');
	holder.host.log.pause();
	pair.live.delete(holder.host.host);
	await pair.advance(5000, [other.manager]);
	assert.equal(
		other.manager.heldLeases.size,
		0,
		'The other host claimed the lease before it expired.',
	);
	await pair.advance(4000, [other.manager]);
	const newToken = other.manager.heldLeases.get(groupLease)!;
	assert.ok(newToken > oldToken);

	// The holder resumes. By its own clock it must not act, even before it has read the log.
	assert.equal(holder.manager.heldLeases.size, 0);
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
	await holder.manager.tick();
	assert.deepEqual(lost, [oldToken]);
	assert.equal(other.host.control.openIntents.size, 0);
});

// No host can renew during a log outage, so the outage must not count towards expiry.
test('a log outage does not move a lease', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	const token = holder.manager.heldLeases.get(groupLease);
	pair.log.setOutage(true);
	await waitUntil(
		() => pair.hosts.every(({follower}) => follower.state === 'outage'),
		'both hosts detect the outage',
	);
	for (let seconds = 0; seconds < 30; seconds++) {
		pair.clock.advance(1000);
		void holder.manager.tick();
		void other.manager.tick();
	}

	// No peer confirms the state of this host, so it must not act, although no host can claim the lease.
	assert.equal(holder.manager.heldLeases.size, 0);
	assert.ok(!holder.manager.isConfirmed(groupLease));
	pair.log.setOutage(false);
	await pair.waitUntilFollowing();
	// The holder detects the end of the outage later than the other host.
	await pair.advance(4000, [other.manager]);
	assert.equal(
		other.manager.heldLeases.size,
		0,
		'The outage counted towards expiry.',
	);
	await pair.advance(4000, pair.managers);
	assert.equal(holder.manager.heldLeases.get(groupLease), token);
	assert.equal(other.manager.heldLeases.size, 0);
});

// Guards against a log outage that stops orders to targets that honour fencing, and against a lease that
// counts as confirmed without a renewal.
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
		void holder.manager.tick();
	}

	assert.ok(holder.manager.heldLeases.has(groupLease));
	assert.ok(!holder.manager.isConfirmed(groupLease));

	// After a pause, a peer must confirm the state again before the host acts.
	pair.clock.advance(3000);
	assert.equal(
		holder.manager.heldLeases.size,
		0,
		'The host acts on the lease immediately after a pause.',
	);
	void holder.manager.tick();
	assert.equal(
		holder.manager.heldLeases.size,
		0,
		'The host acts on the lease before a peer confirmed its state.',
	);
	pair.clock.advance(1);
	await waitUntil(
		() => holder.manager.heldLeases.has(groupLease),
		'a peer confirms the state after the pause',
	);
	pair.log.setOutage(false);
});

test('a lease released at a planned stop is claimed without waiting for its expiry', async () => {
	const pair = new HostPair();
	const {holder, other} = await pair.acquire();
	pair.live.delete(holder.host.host);
	await holder.manager.releaseAll();
	assert.equal(holder.manager.heldLeases.size, 0);
	await pair.advance(500, [other.manager]);
	assert.ok(other.manager.isConfirmed(groupLease));
});
