import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type Fingerprint,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {CrashCorrelation} from '../../src/core/crash-correlation.js';

const poison = 'poison' as Fingerprint;
const bystander = 'bystander' as Fingerprint;

function crash(
	crashes: CrashCorrelation,
	name: string,
	fingerprints: readonly Fingerprint[],
): void {
	for (const fingerprint of fingerprints) {
		crashes.recordLostRequest(
			name as TargetId,
			`${name}@1` as TargetIncarnation,
			fingerprint,
		);
	}

	crashes.recordTargetDeath(name as TargetId);
}

// Guards against a request that crashes one target after the other.
test('a request in flight at three deaths is refused, and no bystander', () => {
	const crashes = new CrashCorrelation({clock: new ManualClock()});
	crash(crashes, 'a', [poison, bystander]);
	crash(crashes, 'b', [poison]);
	assert.equal(crashes.isQuarantined(poison), false);
	crash(crashes, 'c', [poison]);
	assert.equal(crashes.isQuarantined(poison), true);
	assert.equal(crashes.isQuarantined(bystander), false);
});

// Guards against a request that is refused because connections broke.
test('a lost connection of a living target is no death', () => {
	const clock = new ManualClock();
	const crashes = new CrashCorrelation({clock});
	for (const name of ['a', 'b', 'c', 'd']) {
		crashes.recordLostRequest(
			name as TargetId,
			`${name}@1` as TargetIncarnation,
			poison,
		);
	}

	clock.advance(10_000);
	for (const name of ['a', 'b', 'c', 'd']) {
		crashes.recordTargetDeath(name as TargetId);
	}

	assert.equal(crashes.isQuarantined(poison), false);
});

// Guards against a request that crashes a target for each host.
test('deaths of all hosts add up, and what one finds all refuse', () => {
	const clock = new ManualClock();
	const owner = new CrashCorrelation({clock});
	const hosts = ['a', 'b', 'c'].map((name) => {
		const host = new CrashCorrelation({clock});
		crash(host, name, [poison]);
		return host;
	});
	for (const host of hosts) {
		for (const death of host.takeUnreportedDeaths()) {
			owner.applyDeath(death);
		}

		assert.deepEqual(host.takeUnreportedDeaths(), []);
	}

	const found = owner.filterQuarantined([poison, bystander]);
	assert.deepEqual(found, [poison]);
	hosts[0]!.block(found);
	assert.equal(hosts[0]!.isQuarantined(poison), true);
});
