import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';
import {TwoBuilds, type TwoBuildsResult} from './two-builds.js';

const seed = 5;
const earlier = buildProgramOf(productionCommit());

function assertSound(result: TwoBuildsResult): void {
	const {outcomes, violations, reports, unexpectedErrors, claims, earlierOnly} =
		result;
	console.log(
		JSON.stringify({
			outcomes,
			claims,
			replacementMilliseconds: result.replacementMilliseconds,
			streamRecords: result.streamRecords,
			earlierOnly: earlierOnly.map(({check}) => check),
		}),
	);
	assert.ok((outcomes['stream-resumable whole'] ?? 0) > 0);
	assert.ok((outcomes['stream-once whole'] ?? 0) > 0);
	assert.ok((outcomes['once status 200'] ?? 0) > 0);
	assert.ok((outcomes['again status 200'] ?? 0) > 0);
	assert.ok((outcomes.orders ?? 0) > 0);
	// The lease has to pass between the builds in both directions, or the run tests nothing of it.
	const text = claims.join(' ');
	assert.match(text, /earlier later/);
	assert.match(text, /later earlier/);
	assert.deepEqual(unexpectedErrors, []);
	assert.equal(violations.length, 0, reports.join('\n'));
}

// Guards against what hosts of two builds do wrong together and neither does alone: events that are missing, repeated or
// of another software version, requests that run twice or get another's answer, an older configuration after a newer
// one, and two owners.
test(`hosts of the build in production are replaced one by one, and back, seed ${seed}`, async () => {
	assertSound(
		await new TwoBuilds({
			seed,
			hosts: 3,
			callers: 12,
			earlier,
			manner: 'rolling',
			disturbance: 'configuration',
			settleMilliseconds: 500,
		}).run(),
	);
});

// Guards against state in the store that the other build can't start from: the lease, and the software versions at
// which streams began, which no running host knows any more.
test(`all hosts of the build in production end at once and the others start on what they left, and back, seed ${seed}`, async () => {
	const result = await new TwoBuilds({
		seed,
		hosts: 3,
		callers: 12,
		earlier,
		manner: 'complete',
		disturbance: 'two-versions',
		settleMilliseconds: 3500,
	}).run();
	assertSound(result);
	// Both builds have to leave streams in the store for the other one.
	const [forth, back, end] = result.streamRecords;
	assert.ok(forth! > 0 && back! > forth! && end! > back!);
	assert.ok(
		(result.outcomes['stream-resumable whole after a new try'] ?? 0) > 0,
	);
});
