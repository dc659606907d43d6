import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
const hosts: ForwardingTestHost[] = [];
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

async function pause(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

before(async () => {
	const address = await store.start();
	store.generation = 1;
	putConfiguration(1);
	hosts.push(
		...(await Promise.all(
			['h1', 'h2', 'h3'].map(async (name) =>
				startForwardingHost(name, {store: address}),
			),
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
	for (const {process: host} of hosts) {
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
