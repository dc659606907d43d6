import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type OfferingName,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {RemainingWork} from '../../src/core/routing/remaining-work.js';
import {type RoutingCandidate} from '../../src/core/routing/routing-policy.js';
import {TargetSlowdowns} from '../../src/core/routing/target-slowdowns.js';
import {TargetLoadTracker} from '../../src/core/routing/target-load-tracker.js';
import {
	WorkAwarePolicy,
	waitMilliseconds,
} from '../../src/core/routing/work-aware-policy.js';
import {LearnedWorkEstimator} from '../../src/core/work/learned-work-estimator.js';

const target = 't' as TargetId;
const request = 'r' as RequestId;

function candidate(
	changes: Partial<RoutingCandidate> = {},
	work: Partial<RoutingCandidate['work']> = {},
): RoutingCandidate {
	return {
		target,
		slots: 12,
		localOutstanding: 1,
		remoteOutstanding: 5,
		weight: 1,
		speed: 1,
		isProbeDue: false,
		affinity: 0,
		...changes,
		work: {
			remoteSpread: 0,
			remainingMilliseconds: 800,
			slowdown: 1,
			promptMilliseconds: 20,
			milliseconds: 1400,
			...work,
		},
	};
}

function report(running: number, sequence = 0) {
	return {
		target,
		incarnation: 'i' as TargetIncarnation,
		sequence,
		leaving: false,
		running,
		queued: 0,
		slots: 12,
	};
}

// Guards against a host that sees a target every few seconds and therefore knows only the mean of the pool.
test('with aging, a report counts in full at first, and less as the requests end', () => {
	const clock = new ManualClock();
	const tracker = new TargetLoadTracker({clock});
	tracker.setTarget(target, 12);
	tracker.applyReport(report(0), 0);
	clock.advance(3000);
	tracker.applyReport(report(10, 1), 0);
	const [smoothed] = tracker.loads();
	assert.ok(smoothed!.remoteOutstanding < 2);
	tracker.setAging((age) => Math.exp(-age / 1000));
	tracker.applyReport(report(10, 2), 0);
	tracker.setTarget('idle' as TargetId, 12);
	tracker.applyReport({...report(0), target: 'idle' as TargetId}, 0);
	const [fresh] = tracker.loads();
	assert.equal(fresh!.remoteOutstanding, 10);
	clock.advance(1000);
	const [old] = tracker.loads();
	// The rest is what is usual there: the mean of the three reports, 20/3, and with the weight of two more the pool mean, 5.
	const usual = 0.6 * (20 / 3) + 0.4 * 5;
	const share = Math.exp(-1);
	assert.ok(
		Math.abs(old!.remoteOutstanding - (share * 10 + (1 - share) * usual)) <
			0.001,
	);
});

// Guards against an estimate that counts a nearly finished stream like one that has just begun.
test('the own requests at a target count at their cost less what they have produced', () => {
	const estimator = new LearnedWorkEstimator();
	const work = new RemainingWork({estimator});
	const estimate = estimator.estimate({
		offering: 'o' as OfferingName,
		model: undefined,
		adapter: undefined,
		promptTokens: 700,
		maximumTokens: 100,
		hintedTokens: undefined,
	});
	const load = {
		target,
		slots: 12,
		leaving: false,
		localOutstanding: 1,
		localLong: 0,
		remoteOutstanding: 0,
	};
	work.recordSent(target, request, estimate, 0, 10);
	const whole = work.millisecondsAt(load);
	work.recordProgress(target, request, 95);
	const rest = work.millisecondsAt(load);
	assert.ok(rest > 0 && rest < whole / 5);
	work.recordEnded(target, request);
	assert.equal(work.millisecondsAt(load), 0);
	const other = {...load, remoteOutstanding: 3};
	assert.equal(
		work.millisecondsAt(other),
		3 * estimator.usual().remainingMilliseconds,
	);
});

// Guards against a slowdown of half a second that keeps a target idle for long after.
test('a reported slowdown fades', () => {
	const clock = new ManualClock();
	const slowdowns = new TargetSlowdowns({clock});
	slowdowns.recordReport(target, 2.5, 0);
	assert.equal(slowdowns.slowdown(target), 2.5);
	clock.advance(400);
	const faded = slowdowns.slowdown(target);
	assert.ok(faded > 1.5 && faded < 1.6);
	slowdowns.recordGap(target, 1);
	assert.ok(slowdowns.slowdown(target) < faded);
	slowdowns.removeTarget(target);
	// A target of which nothing is known counts as the mean of the pool.
	assert.ok(slowdowns.slowdown(target) > 1);
});

// Guards against routing by a count where the free slot, the prompt, the slowdown or the doubt decides.
test('the cost is lower with a free slot, a held prompt, usual speed and certain knowledge', () => {
	const policy = new WorkAwarePolicy({random: new SeededRandomSource(1)});
	const usual = policy.cost(candidate());
	for (const worse of [
		candidate({remoteOutstanding: 12}),
		candidate({remoteOutstanding: 8}),
		candidate({speed: 0.5}),
		candidate({}, {slowdown: 2.5}),
		candidate({}, {promptMilliseconds: 60}),
		candidate({}, {remoteSpread: 6}),
	]) {
		assert.ok(policy.cost(worse) > usual);
	}

	// Two requests beyond the slots wait for two of twelve ends.
	const full = candidate({localOutstanding: 13, remoteOutstanding: 0});
	assert.ok(Math.abs(waitMilliseconds(full) - (2 * 800) / 12) < 0.001);
	const chosen = policy.choose(
		[
			candidate({target: 'full' as TargetId, remoteOutstanding: 14}),
			candidate(),
		],
		{idempotent: true},
	);
	assert.equal(chosen?.target, target);
});
