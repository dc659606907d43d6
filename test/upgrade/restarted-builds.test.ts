import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';
import {assertSound} from './two-builds-check.js';
import {TwoBuilds} from './two-builds.js';

const seed = 5;
const earlier = buildProgramOf(productionCommit());

// Guards against state in the store that the other build can't start from: the lease, and the software versions at
// which streams began, which no running host knows any more.
test(`all hosts of the build in production end at once and the others start on what they left, and back, seed ${seed}`, async () => {
	const result = await new TwoBuilds({
		seed,
		hosts: 3,
		callers: 20,
		earlier,
		manner: 'complete',
		disturbance: 'two-versions',
		settleMilliseconds: 3500,
	}).run();
	assertSound(result);
	// Both builds have to leave streams in the store for the other one.
	const [forth, back, end] = result.streamRecords;
	assert.ok(forth! > 0 && back! > forth! && end! > back!);
	// Streams of each build have to go on at the other one, which knows them from the store only.
	const {handedOver} = result;
	assert.ok(handedOver.forth > 0);
	assert.ok(handedOver.back > 0);
});
