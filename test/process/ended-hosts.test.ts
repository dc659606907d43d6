import assert from 'node:assert/strict';
import {test} from 'node:test';
import {mixedStreams, VersionFleet} from './version-fleet.js';

const hostCount = 4;
const streamCount = 12;
/** Time for the streams to reach the store: longer than a report and the interval of the writes. */
const recordMilliseconds = 1500;

/** Returns the hosts that end, given the owner, and the host of the streams. */
type Choice = (owner: number) => {
	readonly ended: readonly number[];
	readonly begin: number;
};

const others = (owner: number): number[] =>
	Array.from({length: hostCount}, (_, index) => index).filter(
		(index) => index !== owner,
	);

const choices: ReadonlyArray<readonly [string, Choice]> = [
	[
		'the host of the streams',
		(owner) => ({ended: [others(owner)[0]!], begin: others(owner)[0]!}),
	],
	[
		'the owner, at which they began',
		(owner) => ({ended: [owner], begin: owner}),
	],
	[
		'half of the hosts, with the owner',
		(owner) => ({ended: [owner, others(owner)[0]!], begin: others(owner)[0]!}),
	],
	[
		'all hosts but one',
		(owner) => ({
			ended: [owner, ...others(owner).slice(1)],
			begin: others(owner)[1]!,
		}),
	],
	[
		'all hosts',
		(owner) => ({ended: [owner, ...others(owner)], begin: others(owner)[0]!}),
	],
];

async function endHosts(
	choose: Choice,
	restore: boolean,
): Promise<{readonly mixed: readonly string[]; readonly goesOn: number}> {
	const fleet = new VersionFleet();
	try {
		await fleet.start(['v1', 'v2'], hostCount);
		const owner = await fleet.ownerIndex();
		const {ended, begin} = choose(owner);
		const streams = await fleet.beginStreams(begin, 'e', streamCount);
		await new Promise((resolve) => {
			setTimeout(resolve, recordMilliseconds);
		});
		const copy = fleet.store.copy();
		await fleet.kill(ended);
		if (restore) {
			fleet.store.restore(copy);
		}

		const survivors = others(-1).filter((index) => !ended.includes(index));
		if (survivors.length === 0) {
			await fleet.startHosts(ended.map((index) => `h${index + 1}`));
		}

		const goesOn = await fleet.takeUp(
			streams,
			survivors.length === 0 ? ended : survivors,
		);
		return {mixed: mixedStreams(streams), goesOn};
	} finally {
		fleet.stop();
	}
}

// Guards against streams that are refused because the hosts that knew their software version have ended together.
for (const [name, choose] of choices) {
	test(`streams go on at their version after the end of ${name}`, async () => {
		const {mixed, goesOn} = await endHosts(choose, false);
		assert.deepEqual(mixed, []);
		assert.ok(goesOn >= streamCount / 2, `${goesOn} of ${streamCount} go on`);
	});
}

test('streams go on at their version after the end of all hosts and the restore of the store', async () => {
	const {mixed, goesOn} = await endHosts(choices.at(-1)![1], true);
	assert.deepEqual(mixed, []);
	assert.ok(goesOn >= streamCount / 2, `${goesOn} of ${streamCount} go on`);
});
