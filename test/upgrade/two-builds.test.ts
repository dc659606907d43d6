import {test} from 'node:test';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';
import {assertSound} from './two-builds-check.js';
import {TwoBuilds} from './two-builds.js';

const seed = 5;
const earlier = buildProgramOf(productionCommit());

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
