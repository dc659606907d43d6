import assert from 'node:assert/strict';
import {test} from 'node:test';
import {mixedStreams, VersionFleet} from './version-fleet.js';

const streamCount = 12;
/** Longer than the interval at which the owner renews its lease. */
const renewalMilliseconds = 1000;

async function sleep(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

/** Kills all hosts, after the workers of the first version were replaced if there is a second, and counts the streams that go on. */
async function killAllHosts(
	versions: readonly [string, string?],
): Promise<{readonly mixed: readonly string[]; readonly goesOn: number}> {
	const fleet = new VersionFleet();
	try {
		const [first, second] = versions;
		await fleet.start([first], 2);
		const streams = await fleet.beginStreams(0, 'r', streamCount);
		if (second !== undefined) {
			await fleet.addWorkers(second);
			await sleep(renewalMilliseconds);
			fleet.unlistWorkers(first);
		}

		await sleep(renewalMilliseconds);
		await fleet.kill([0, 1]);
		await fleet.startHosts(['h1', 'h2']);
		const goesOn = await fleet.takeUp(streams, [0, 1]);
		return {mixed: mixedStreams(streams), goesOn};
	} finally {
		fleet.stop();
	}
}

// Guards against a restarted fleet that takes the software version that it finds for the only one that there was.
test('no stream goes on at another software version after all hosts were killed', async () => {
	const {mixed} = await killAllHosts(['v1', 'v2']);
	assert.deepEqual(mixed, []);
});

// Guards against the opposite: a restarted fleet that refuses streams although its targets never had another version.
test('streams go on after all hosts were killed while there is one software version', async () => {
	const {goesOn} = await killAllHosts(['v1']);
	assert.ok(goesOn >= streamCount / 2, `${goesOn} of ${streamCount} go on`);
});

// Guards against a host that is cut off while the software version changes and goes on to take the last one that it saw
// for the only one.
test('a host that does not see the target list any more does not guess the version of a stream', async () => {
	const fleet = new VersionFleet();
	try {
		await fleet.start(['v1'], 1);
		const streamsOf = (prefix: string) =>
			Array.from({length: 4}, (_, index) => ({
				id: `${prefix}${index}`,
				lastEventId: 3,
				versions: new Set<string>(),
				isOpen: false,
			}));
		assert.equal(await fleet.takeUp(streamsOf('before'), [0]), 4);
		fleet.store.isAway = true;
		// Longer than the time within which a host must know that a target leaves.
		await sleep(2500);
		assert.equal(await fleet.takeUp(streamsOf('during'), [0]), 0);
		fleet.store.isAway = false;
		assert.equal(await fleet.takeUp(streamsOf('after'), [0]), 4);
	} finally {
		fleet.stop();
	}
});
