import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	type Fingerprint,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {QuarantinePolicy} from '../../src/core/crashes/quarantine-policy.js';

const options = {
	deathsToQuarantine: 2,
	durationMilliseconds: 1000,
	maximumFingerprints: 8,
};

function death(target: string, incarnation: string, ...fingerprints: string[]) {
	return {
		target: target as TargetId,
		targetIncarnation: incarnation as TargetIncarnation,
		fingerprints: fingerprints as Fingerprint[],
	};
}

// Guards against counting one death several times when several hosts report it, which would quarantine unrelated
// requests.
test('one death reported by several hosts makes fingerprints suspect, not quarantined', () => {
	const policy = new QuarantinePolicy(options);
	policy.applyDeath(death('engine-1', 'run-1', 'poison', 'bystander'), 0);
	policy.applyDeath(death('engine-1', 'run-1', 'poison', 'bystander'), 1);
	assert.equal(policy.status('poison' as Fingerprint, 2), 'suspect');
	assert.deepEqual(policy.applyDeath(death('engine-2', 'run-1', 'poison'), 3), [
		'poison',
	]);
	assert.equal(policy.status('bystander' as Fingerprint, 4), 'suspect');
	policy.clear('bystander' as Fingerprint, 5);
	assert.equal(policy.status('bystander' as Fingerprint, 6), 'clear');
	policy.clear('poison' as Fingerprint, 7);
	assert.equal(policy.status('poison' as Fingerprint, 8), 'quarantined');
});

// Guards against quarantine that never expires and against memory that grows with each fingerprint.
test('quarantine expires after its duration, and the number of fingerprints is bounded', () => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					target: fc.integer({min: 0, max: 5}),
					fingerprint: fc.integer({min: 0, max: 30}),
					gap: fc.integer({min: 0, max: 400}),
				}),
				{maxLength: 100},
			),
			(deaths) => {
				const policy = new QuarantinePolicy(options);
				const seen = new Map<string, {targets: Set<number>; last: number}>();
				let now = 0;
				for (const {target, fingerprint, gap} of deaths) {
					now += gap;
					const name = `fingerprint-${fingerprint}`;
					policy.applyDeath(death(`engine-${target}`, 'run', name), now);
					const known = seen.get(name);
					const isOld =
						known && now - known.last > options.durationMilliseconds;
					const targets = known && !isOld ? known.targets : new Set<number>();
					const last =
						known && !isOld && targets.has(target) ? known.last : now;
					seen.set(name, {targets: targets.add(target), last});
					assert.ok(policy.size <= options.maximumFingerprints);
					if (policy.status(name as Fingerprint, now) === 'quarantined') {
						assert.ok(targets.size >= options.deathsToQuarantine);
					}
				}

				for (const name of seen.keys()) {
					const status = policy.status(
						name as Fingerprint,
						now + options.durationMilliseconds + 1,
					);
					assert.equal(status, 'clear');
				}
			},
		),
		{seed: 4712, numRuns: 300},
	);
});
