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
