import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type TargetId} from '../../src/contracts/ids.js';
import {BrittleTargets} from '../../src/core/limits/brittle-targets.js';
import {RefusalLimits} from '../../src/core/limits/refusal-limits.js';
import {RefusalFleet, type RefusalFleetOptions} from './refusal-fleet.js';

const target = 't' as TargetId;
const seeds = [3, 4];

const sizes = [
	{hosts: 2, targets: 4, serviceMilliseconds: 50},
	{hosts: 8, targets: 8, serviceMilliseconds: 50},
	{hosts: 62, targets: 20, serviceMilliseconds: 100},
	{hosts: 195, targets: 65, serviceMilliseconds: 200},
	{hosts: 195, targets: 4, serviceMilliseconds: 200},
];

/** What the users' rule allows in one time in which the targets of a service are brittle. */
function allowedFalls(targets: number): number {
	return 2 + targets / 10;
}

/** Plays the usual load, then a burst that begins while the targets are brittle. */
function play(options: RefusalFleetOptions, burst: number) {
	const fleet = new RefusalFleet(options);
	const usual = fleet.capacity * 0.6;
	fleet.run(2000, usual);
	fleet.announce(true);
	fleet.run(3000, usual);
	fleet.becomeBrittle();
	fleet.run(1000, usual);
	const before = fleet.answered;
	fleet.run(4000, fleet.capacity * burst);
	return {
		falls: fleet.falls,
		largestSecond: fleet.largestSecond,
		utilisation: (fleet.answered - before) / 4 / fleet.capacity,
	};
}

// Guards against hosts that together send more than targets have room for, until those fall over one after the other,
// and against limits that keep targets up by sending them less than targets that fall and restart get done.
for (const size of sizes) {
	for (const [refusalsPerSecond, brittleQueueRoom, burst] of [
		[2, 0, 4],
		[2, 2, 4],
		[5, 2, 2],
		[5, 0, 4],
	] as const) {
		test(`targets that turn away no more than ${refusalsPerSecond} a second fall seldom in a burst of ${burst} times the load: ${size.hosts} hosts, ${size.targets} targets, ${brittleQueueRoom} may wait`, () => {
			for (const seed of seeds) {
				const [on, off] = [true, false].map((isPolicyOn) =>
					play(
						{
							...size,
							slots: 4,
							queueRoom: 8,
							brittleQueueRoom,
							refusalsPerSecond,
							isPolicyOn,
							seed,
						},
						burst,
					),
				);
				const result = `seed ${seed}: ${on!.falls} falls, ${on!.largestSecond} refusals in a second, ${on!.utilisation.toFixed(2)} of the capacity; without limits ${off!.falls} falls, ${off!.utilisation.toFixed(2)}`;
				assert.ok(on!.falls <= allowedFalls(size.targets), result);
				assert.ok(
					off!.falls <= allowedFalls(size.targets) ||
						on!.utilisation > off!.utilisation,
					result,
				);
			}
		});
	}
}

// Shows that there are cases above in which targets fall too often without the limits.
for (const size of sizes) {
	test(`without limits too many targets fall: ${size.hosts} hosts, ${size.targets} targets`, () => {
		const {falls} = play(
			{
				...size,
				slots: 4,
				queueRoom: 8,
				brittleQueueRoom: 0,
				refusalsPerSecond: 2,
				isPolicyOn: false,
				seed: 3,
			},
			4,
		);
		assert.ok(falls > allowedFalls(size.targets), `${falls} falls`);
	});
}

function createLimits(hosts: number) {
	const clock = new ManualClock();
	const brittle = new BrittleTargets({clock});
	const limits = new RefusalLimits({
		clock,
		random: new SeededRandomSource(2),
		brittle,
		hostCount: () => hosts,
	});
	return {clock, brittle, limits};
}

// Guards against limits that slow down targets that are not brittle, or no more.
test('a target that is not brittle may receive everything', () => {
	const {clock, brittle, limits} = createLimits(195);
	const load = {target, slots: 4};
	for (let count = 0; count < 20; count++) {
		assert.equal(limits.mayReceive(load), true);
		limits.recordSent(target);
	}

	brittle.apply(target, 3);
	clock.advance(1);
	assert.equal(limits.mayReceive(load), false);
	brittle.apply(target, undefined);
	assert.equal(limits.mayReceive(load), true);
});

// Guards against hosts of a large fleet that each go on sending to a target that has turned them away.
test('a host that was refused waits for its share of the refusals', () => {
	for (const hosts of [2, 195]) {
		const {clock, brittle, limits} = createLimits(hosts);
		const load = {target, slots: 4};
		let refused = 0;
		for (let step = 0; step < 60_000; step += 20) {
			clock.advance(20);
			brittle.apply(target, 4);
			if (limits.mayReceive(load)) {
				limits.recordSent(target);
				limits.recordRefused(target);
				limits.recordEnded(target);
				refused++;
			}
		}

		assert.ok(refused <= (4 * 60) / hosts + 1, `${refused} of ${hosts} hosts`);
		assert.ok(hosts > 2 || refused >= 5, `${refused}`);
	}
});

// Guards against a restarted target, which is empty, that gets as much as before at once.
test('a target that has fallen begins with one request', () => {
	const {clock, brittle, limits} = createLimits(1);
	const load = {target, slots: 4};
	brittle.apply(target, 4);
	assert.equal(limits.mayReceive(load), true);
	limits.recordSent(target);
	limits.recordReport(target, {running: 1, queued: 0});
	limits.recordAccepted(target);
	assert.equal(limits.mayReceive(load), true);
	limits.recordEnded(target);
	limits.recordRestart(target);
	clock.advance(1);
	limits.recordSent(target);
	assert.equal(limits.mayReceive(load), false);
});

// Guards against an announcement that never ends, and against an old one that other hosts pass on late.
test('the newest answer decides whether a target is brittle, and an announcement expires', () => {
	const {clock, brittle} = createLimits(8);
	clock.advance(5000);
	brittle.apply(target, 3);
	brittle.merge({target, refusalsPerSecond: undefined, ageMilliseconds: 400});
	assert.equal(brittle.get(target), 3);
	clock.advance(60_000);
	assert.equal(brittle.get(target), undefined);
	brittle.apply(target, 3);
	brittle.apply(target, undefined);
	assert.equal(brittle.get(target), undefined);
});

// Guards against a host that gets no answers of a target and forgets that it is brittle while others know it.
test('a host without answers of a target learns that it is brittle, and keeps knowing it', () => {
	const {clock, brittle} = createLimits(8);
	const other = new BrittleTargets({clock});
	let known = 0;
	for (let step = 0; step < 60; step++) {
		clock.advance(1000);
		brittle.apply(target, 3);
		const {news, revision} = brittle.changesSince(known);
		known = revision;
		for (const each of news) {
			other.merge(each);
		}

		assert.equal(other.get(target), 3);
	}

	brittle.apply(target, undefined);
	for (const each of brittle.changesSince(known).news) {
		other.merge(each);
	}

	assert.equal(other.get(target), undefined);
});
