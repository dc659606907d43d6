import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {DemandEstimator} from '../../src/core/placement/demand-estimator.js';
import {
	LoadPacer,
	shareRotationMilliseconds,
} from '../../src/core/placement/load-pacer.js';

const seed = 20_261_204;

test('owners together never exceed the rate and concurrency limits of the weight store', () => {
	fc.assert(
		fc.property(
			fc.record({
				count: fc.integer({min: 1, max: 12}),
				loadsPerSecond: fc.integer({min: 1, max: 8}),
				concurrentLoads: fc.integer({min: 1, max: 8}),
				concurrentAdapterLoads: fc.integer({min: 1, max: 40}),
				loadMilliseconds: fc.integer({min: 100, max: 3000}),
			}),
			({count, loadMilliseconds, ...limits}) => {
				const pacers = Array.from(
					{length: count},
					(_, index) => new LoadPacer(limits, {index, count}, 0),
				);
				let running: Array<{owner: number; id: string; end: number}> = [];
				let started = 0;
				for (let now = 0; now < 60_000; now += 100) {
					for (const {owner, id, end} of running) {
						if (end <= now) {
							pacers[owner]!.finish(id);
						}
					}

					running = running.filter(({end}) => end > now);
					const runningBefore = running.length;
					for (const [owner, pacer] of pacers.entries()) {
						const id = `${owner}/${now}`;
						if (pacer.tryStart(id, 'model', {now, wall: now})) {
							started += 1;
							running.push({owner, id, end: now + loadMilliseconds});
						}
					}

					// Loads of the previous rotation may still run after the shares have rotated.
					const haveOldLoadsEnded =
						now % shareRotationMilliseconds >= loadMilliseconds;
					const allowed = haveOldLoadsEnded
						? limits.concurrentLoads
						: Math.max(runningBefore, 0) + limits.concurrentLoads;
					assert.ok(
						running.length <= allowed,
						`${running.length} loads run at ${now} ms`,
					);
					assert.ok(
						started <= count + (limits.loadsPerSecond * (now + 100)) / 1000,
					);
				}

				assert.ok(started > 0);
			},
		),
		{seed, numRuns: 200},
	);
});

// Engines slow down when more adapters than the limit are loaded at the same time.
test('owners together never exceed the limit of concurrent adapter loads', () => {
	const limits = {
		loadsPerSecond: 2,
		concurrentLoads: 2,
		concurrentAdapterLoads: 16,
	};
	let started = 0;
	for (let index = 0; index < 4; index++) {
		const pacer = new LoadPacer(limits, {index, count: 4}, 0);
		for (let load = 0; load < 40; load++) {
			started += pacer.tryStart(`${load}`, 'adapter', {now: 0, wall: 0})
				? 1
				: 0;
		}
	}

	assert.equal(started, 16);
});

// A slower rise would lag behind a burst. A faster decay would discard the demand between two bursts.
test('the demand estimate rises within seconds and decays over minutes', () => {
	const estimator = new DemandEstimator<string>();
	for (let now = 0; now <= 60_000; now += 1000) {
		estimator.observe(new Map([['m', now < 10_000 ? 1 : 10]]), now);
		if (now === 14_000) {
			assert.ok(estimator.estimate().get('m')! > 8.5);
		}
	}

	for (let now = 61_000; now <= 120_000; now += 1000) {
		estimator.observe(new Map([['m', 1]]), now);
	}

	assert.ok(estimator.estimate().get('m')! > 8);
	for (let now = 121_000; now <= 3_600_000; now += 1000) {
		estimator.observe(new Map(), now);
	}

	assert.ok((estimator.estimate().get('m') ?? 0) < 0.01);
});
