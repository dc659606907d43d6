import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {okAsync} from 'neverthrow';
import {type Disposable} from '../../src/base/common/disposable.js';
import {HostList} from '../../src/contracts/host-list.js';
import {type FailureDomain} from '../../src/contracts/ids.js';
import {MembershipTask} from '../../src/services/membership-task.js';
import {PeerDirectory} from '../../src/services/peer-directory.js';
import {PeerServer} from '../../src/services/peer-server.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';
import {TestHost, waitUntil} from './harness.js';

const secret = 'a secret of the fleet';
const disposals: Disposable[] = [];
after(async () => {
	for (const disposal of disposals.reverse()) {
		await disposal.dispose();
	}
});

class EmptyHostList extends HostList {
	list() {
		return okAsync([]);
	}
}

/** Starts a host with a peer server and a membership task that sends heartbeats only by explicit ticks. */
async function startHost(
	log: MemoryLogService,
	name: string,
	seedAddresses: readonly string[],
	options: {secret?: string; maximumRetainedRecords?: number} = {},
) {
	const directory = new PeerDirectory({
		secret: options.secret ?? secret,
		seedAddresses,
	});
	const host = new TestHost(log, name, {...options, peers: directory});
	const server = new PeerServer({
		...host.common,
		secret,
		bindAddress: '127.0.0.1',
		port: 0,
		follower: host.follower,
		localState: () => membership.localState(),
	});
	const port = await server.listen();
	const address = `http://127.0.0.1:${port._unsafeUnwrap()}`;
	const membership: MembershipTask = new MembershipTask({
		...host.common,
		host: host.host,
		incarnation: host.incarnation,
		failureDomain: 'north' as FailureDomain,
		peerAddress: address,
		follower: host.follower,
		directory,
		hostList: new EmptyHostList(),
		seedAddresses,
		getHostLoad: () => ({ready: true}),
		timeouts: {
			suspectAfterMilliseconds: 300,
			goneAfterMilliseconds: 2000,
			isolatedAfterMilliseconds: 600,
		},
	});
	server.heartbeatReceived.subscribe((state) => {
		membership.receive(state);
	});
	disposals.push(directory, host, server);
	return {host, server, membership, address, directory};
}

async function following(host: TestHost): Promise<void> {
	await waitUntil(
		() => host.follower.state === 'following',
		'the host reads from the log',
	);
}

// Guards against a host that serves an older document than its peers after it started or lagged during a log outage.
test('hosts catch up from peers during a log outage', async () => {
	const log = new MemoryLogService();
	const first = await startHost(log, 'first', []);
	const lagging = await startHost(log, 'lagging', [first.address]);
	await following(first.host);
	await following(lagging.host);
	lagging.host.log.pause();
	for (const model of ['one', 'two', 'three']) {
		const outcome = await first.host.edit(model);
		assert.ok(outcome.isOk() && outcome.value.accepted);
	}

	log.setOutage(true);
	lagging.host.log.resume();
	const empty = await startHost(log, 'empty', [first.address]);
	await waitUntil(
		() => [lagging, empty].every(({host}) => host.control.revision === 3),
		'both hosts have the document of their peer',
	);
	for (const {host} of [lagging, empty]) {
		assert.deepEqual(host.control.snapshot(), first.host.control.snapshot());
	}

	log.setOutage(false);
	await following(empty.host);
	const outcome = await empty.host.edit('four');
	assert.ok(outcome.isOk() && outcome.value.accepted);
});

// Guards against a host that cannot catch up because its peer no longer retains the missing records.
test('a host restores the snapshot of a peer that retains too few records', async () => {
	const log = new MemoryLogService();
	const first = await startHost(log, 'first', [], {maximumRetainedRecords: 1});
	const lagging = await startHost(log, 'lagging', [first.address]);
	await following(first.host);
	await following(lagging.host);
	lagging.host.log.pause();
	for (const model of ['one', 'two', 'three']) {
		await first.host.edit(model);
	}

	log.setOutage(true);
	lagging.host.log.resume();
	await waitUntil(
		() => lagging.host.control.revision === 3,
		'the host restores the state of its peer',
	);
});

// Guards against state that exists only in the memory of processes.
test('new hosts continue after all hosts were replaced at once', async () => {
	const log = new MemoryLogService();
	const old = new TestHost(log, 'old');
	await following(old);
	await old.edit('one');
	assert.ok(await old.snapshots.tick());
	await old.edit('two');
	log.setRetention(1);
	await old.dispose();
	const fresh = new TestHost(log, 'fresh');
	disposals.push(fresh);
	await waitUntil(() => fresh.control.revision === 2, 'the last document');
	assert.equal(fresh.follower.snapshotOffset, 1);
	assert.deepEqual(fresh.control.snapshot(), old.control.snapshot());
});

// Guards against a fleet that is not ready during a log outage, and against a host that serves a stale document
// without contact to the log or a peer.
test('during a log outage only a host without contact to any peer is isolated', async () => {
	const log = new MemoryLogService();
	const left = await startHost(log, 'left', []);
	const right = await startHost(log, 'right', [left.address]);
	await following(left.host);
	await following(right.host);
	log.setOutage(true);
	const outageEnd = performance.now() + 1200;
	while (performance.now() < outageEnd) {
		await Promise.all([left.membership.tick(), right.membership.tick()]);
		assert.ok(!left.membership.isIsolated && !right.membership.isIsolated);
	}

	await left.server.dispose();
	await waitUntil(() => right.membership.isIsolated, 'the host is isolated');
	assert.equal(right.membership.localState().ready, false);
	log.setOutage(false);
	await waitUntil(
		() => !right.membership.isIsolated,
		'the host is no longer isolated',
	);
});

// Guards against state that is sent to or accepted from a process outside the fleet.
test('a call without the shared secret is refused', async () => {
	const log = new MemoryLogService();
	const member = await startHost(log, 'member', []);
	await following(member.host);
	const outsider = await startHost(log, 'outsider', [member.address], {
		secret: 'another secret',
	});
	const snapshot = await outsider.directory.snapshot();
	assert.ok(snapshot.isErr());
	await outsider.membership.tick();
	assert.equal(member.membership.members.length, 0);
	const missing = await fetch(
		`${member.address}/daisylever.peer.v1.PeerService/FetchSnapshot`,
		{
			method: 'POST',
			body: '{}',
			headers: {'content-type': 'application/json'},
		},
	);
	assert.equal(missing.status, 401);
});
