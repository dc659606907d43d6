import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	runSharedFleet,
	type SharedFleetOptions,
} from '../../src/measure/shared-fleet.js';

const seed = 20_261_206;

/** Served share of each customer in the burst, relative to the run without one. */
function relativeShares(options: SharedFleetOptions): number[] {
	const usual = runSharedFleet({...options, bursting: []});
	const run = runSharedFleet(options);
	return run.served.map(
		(served, index) =>
			served /
			run.arrived[index]! /
			(usual.served[index]! / usual.arrived[index]!),
	);
}

// Guards against a customer at six times its usual rate that takes the targets from the others, those on one host above
// all, when all reports arrive and when they are lost, late and out of order, or the owner stalls.
for (const [name, changes] of [
	['on time', {}],
	['lost, late and out of order', {lostReports: 0.1, reportDelay: 600}],
	['not answered for a part of the burst', {ownerStall: [4000, 6500]}],
	['of half of the hosts missing for seconds', {silentHosts: [3500, 7000]}],
] as const) {
	test(`customers at their usual rate are served in a burst of another one, with reports ${name}`, () => {
		const bursting = [0];
		const shares = relativeShares({hosts: 8, seed, bursting, ...changes});
		for (const [index, share] of shares.entries()) {
			const least = bursting.includes(index) ? 0.25 : 0.95;
			assert.ok(share >= least, `customer ${index}: ${share}`);
		}
	});
}

// Guards against the reports having no effect, so that the test above shows nothing.
test('without reports a customer on one host gets a smaller share', () => {
	const bursting = [0, 1, 2];
	const shares = relativeShares({hosts: 8, seed, bursting, isReporting: false});
	assert.ok(Math.min(...shares.slice(3)) < 0.8);
});
