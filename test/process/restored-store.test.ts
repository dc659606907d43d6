import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
/** Hosts that take part in the tests. */
const hosts: ForwardingTestHost[] = [];
/** All hosts, including those that have ended. */
const started: ForwardingTestHost[] = [];
let storeAddress = '';
/** Time within which a configuration must be in force after the store confirmed it. */
const applyMilliseconds = 2000;
/** Time for which the restored store may be unstable before that bound holds. */
const stableMilliseconds = 3000;

function putConfiguration(version: number): void {
	store.put('keyed.op', 'config', {
		version,
		routes: [],
		services: [{name: 's', max_conns: 100}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
}

function hasApplied(
	{process: {lines}}: ForwardingTestHost,
	version: number,
): boolean {
	return lines.some(
		(line) =>
			line.includes('"document-applied"') &&
			line.includes(`"version":${version}`),
	);
}

async function waitUntilApplied(version: number): Promise<void> {
	await waitUntil(`version ${version} on all hosts`, () =>
		hosts.every((host) => hasApplied(host, version)),
	);
}

async function startHost(
	name: string,
	settings: Readonly<Record<string, unknown>> = {},
): Promise<ForwardingTestHost> {
	const host = await startForwardingHost(name, {
		store: storeAddress,
		...settings,
	});
	started.push(host);
	return host;
}

async function pause(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

before(async () => {
	storeAddress = await store.start();
	store.generation = 1;
	putConfiguration(1);
	hosts.push(
		...(await Promise.all(
			['h1', 'h2', 'h3'].map(async (name) => startHost(name)),
		)),
	);
	await waitUntilApplied(1);
	await waitUntil('the owner reads for the others', () =>
		hosts.some(({process: {lines}}) =>
			lines.some(
				(line) =>
					line.includes('"state-received"') && line.includes('document'),
			),
		),
	);
});

after(() => {
	for (const {process: host} of started) {
		host.child.kill('SIGKILL');
	}

	store.stop();
});

// Guards against a confirmed configuration that is not in force: the store was restored from a copy, and the hosts take
// the position of a new version for one that they have read before.
test('a configuration is in force on all hosts although its position was in use before the store was restored', async () => {
	const copy = store.copy();
	putConfiguration(3);
	putConfiguration(5);
	await waitUntilApplied(5);
	store.isAway = true;
	await pause(500);
	store.restore(copy);
	store.isAway = false;
	putConfiguration(5);
	await pause(stableMilliseconds);
	putConfiguration(7);
	await pause(applyMilliseconds);
	assert.deepEqual(
		hosts.map((host) => hasApplied(host, 7)),
		[true, true, true],
	);
});

// Guards against a configuration that comes back older: a host that starts after the restore finds the version of the
// copy in the store, while the other hosts know a newer one.
test('a host that starts on a restored store takes the newer configuration of the other hosts', async () => {
	const copy = store.copy();
	putConfiguration(9);
	await waitUntilApplied(9);
	store.isAway = true;
	await pause(500);
	store.restore(copy);
	store.isAway = false;
	const late = await startHost('h4');
	hosts.push(late);
	await waitUntil('the version of the copy', () => hasApplied(late, 7));
	await pause(applyMilliseconds);
	assert.ok(hasApplied(late, 9));
	putConfiguration(11);
	await waitUntilApplied(11);
});

// Guards against a fleet that follows the owner back to an older configuration: the owner started on the restored store.
test('an owner that started on a restored store takes the newer configuration of the hosts that report to it', async () => {
	const copy = store.copy();
	putConfiguration(13);
	await waitUntilApplied(13);
	store.restore(copy);
	const late = hosts.at(3);
	const others = hosts.filter((host) => host !== late);
	late!.process.child.kill('SIGKILL');
	const restarted = await startHost('h5', {machine: {processorShare: 1}});
	await waitUntil('the version of the copy', () => hasApplied(restarted, 11));
	for (const {process: host} of others.slice(1)) {
		host.child.kill('SIGKILL');
	}

	hosts.splice(0, hosts.length, others[0]!, restarted);
	others[0]!.process.child.kill('SIGSTOP');
	await waitUntil('the new host owns placement', () =>
		restarted.process.lines.some((line) => line.includes('"ownership-gained"')),
	);
	others[0]!.process.child.kill('SIGCONT');
	await waitUntil('the newer version', () => hasApplied(restarted, 13));
});
