import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type FailureDomain, type HostId} from '../../src/contracts/ids.js';
import {AcceptPressure} from '../../src/core/admission/accept-pressure.js';
import {HostLoadPolicy} from '../../src/core/admission/host-load-policy.js';
import {HostReadiness} from '../../src/core/admission/host-readiness.js';
import {ReadinessGrants} from '../../src/core/admission/readiness-grants.js';

const sampleMilliseconds = 250;
/** Half of the objective of 300 ms that holds without a document. */
const permittedMilliseconds = 150;

/** Lets a host with a processor for so many requests a second run for some time. Returns what it did in the last half of it. */
function runHost(
	policy: HostLoadPolicy,
	clock: ManualClock,
	{
		capacity,
		arrivals,
		samples,
	}: {capacity: number; arrivals: number; samples: number},
) {
	let waiting = 0;
	let started = 0;
	const late: number[] = [];
	for (let sample = 0; sample < samples; sample++) {
		let startedNow = 0;
		for (let step = 0; step < sampleMilliseconds; step += 10) {
			clock.advance(10);
			for (let each = 0; each < arrivals / 100; each++) {
				startedNow += policy.tryStart() ? 1 : 0;
			}
		}

		const possible = (capacity * sampleMilliseconds) / 1000;
		waiting += startedNow;
		const done = Math.min(waiting, possible);
		waiting -= done;
		const delayMilliseconds = (waiting / capacity) * 1000;
		policy.record({
			elapsedMilliseconds: sampleMilliseconds,
			delayMilliseconds,
			usedMilliseconds: (done / possible) * 0.12 * sampleMilliseconds,
			startedRequests: startedNow,
			hasUnmetDemand: startedNow < (arrivals * sampleMilliseconds) / 1000,
		});
		if (sample >= samples / 2) {
			started += done;
			late.push(delayMilliseconds);
		}
	}

	const seconds = (samples / 2) * (sampleMilliseconds / 1000);
	return {
		perSecond: started / seconds,
		medianDelay: late.sort((a, b) => a - b)[Math.floor(late.length / 2)]!,
	};
}

// Guards against a limit on hosts whose processor suffices, which take the same decisions as without one.
test('a host within its processor share, or whose event loop is in time, is never limited', () => {
	const delay = fc.double({min: 0, max: 5000, noNaN: true});
	const used = fc.double({min: 0, max: 3, noNaN: true});
	fc.assert(
		fc.property(
			fc.array(fc.record({delay, used}), {maxLength: 60}),
			(samples) => {
				const clock = new ManualClock();
				const policy = new HostLoadPolicy({clock, processorShare: 0.5});
				for (const sample of samples) {
					const isShort =
						sample.used >= 0.8 && sample.delay >= permittedMilliseconds;
					policy.record({
						elapsedMilliseconds: sampleMilliseconds,
						delayMilliseconds: isShort ? sample.delay % 150 : sample.delay,
						usedMilliseconds: sample.used * 0.5 * sampleMilliseconds,
						startedRequests: 10,
						hasUnmetDemand: false,
					});
					assert.ok(!policy.isLimited && policy.tryStart());
				}
			},
		),
		{seed: 35},
	);
});

// Guards against a limit that lets requests wait for longer than their objective, leaves the processor idle, or stays.
test('the limit follows the capacity of the host, and ends when the load does', () => {
	for (const capacity of [40, 60, 150]) {
		const clock = new ManualClock();
		const policy = new HostLoadPolicy({clock, processorShare: 0.12});
		const load = {capacity, arrivals: 4 * capacity, samples: 240};
		const {perSecond, medianDelay} = runHost(policy, clock, load);
		assert.ok(policy.isLimited);
		assert.ok(perSecond >= 0.8 * capacity, `${perSecond} of ${capacity}`);
		assert.ok(medianDelay < 300, `${medianDelay} ms`);
		runHost(policy, clock, {...load, arrivals: 0, samples: 40});
		assert.ok(!policy.isLimited);
	}
});

// Guards against callers that all return at once, or long after there is room.
test('refused requests are told different times, at the pace of the limit', () => {
	const clock = new ManualClock();
	const policy = new HostLoadPolicy({clock, processorShare: 0.12});
	for (let sample = 0; sample < 2; sample++) {
		policy.record({
			elapsedMilliseconds: sampleMilliseconds,
			delayMilliseconds: 400,
			usedMilliseconds: 30,
			startedRequests: 0,
			hasUnmetDemand: true,
		});
	}

	const interval = 1000 / policy.limitPerSecond;
	for (let refused = 1; refused <= 10; refused++) {
		const retry = policy.promiseRoom(0);
		assert.ok(Math.abs(retry - refused * interval) < 1e-6, String(retry));
	}

	clock.advance(10 * interval);
	assert.ok(Math.abs(policy.promiseRoom(0) - interval) < 1e-6);
});

// Guards against a host that gives up its readiness too often, for too short to be noticed, or without a permission.
test('readiness falls only with a permission, for 2.5 to 5 s and at most a tenth of the time', () => {
	const clock = new ManualClock();
	const random = new SeededRandomSource(7);
	for (const isGranted of [false, true]) {
		const readiness = new HostReadiness({clock});
		const spans: number[] = [];
		let notReady = 0;
		for (let elapsed = 250; elapsed <= 600_000; elapsed += 250) {
			clock.advance(250);
			if (isGranted && readiness.wantsRest) {
				readiness.grant(5800);
			}

			const wasReady = readiness.isReady;
			readiness.record(true, random.next() < 0.2);
			if (!readiness.isReady) {
				notReady += 250;
				spans.push(wasReady ? 250 : spans.pop()! + 250);
			}

			assert.ok(notReady <= elapsed / 8, `${notReady} of ${elapsed} ms`);
		}

		assert.equal(spans.length > 0, isGranted);
		for (const span of spans.slice(0, -1)) {
			assert.ok(span >= 2250 && span <= 5000, `${span} ms`);
		}
	}
});

// Guards against a failure domain that loses most of its hosts: the load balancer then uses all of them again.
test('at most a quarter of the hosts of a failure domain may be not ready, over a change of the owner too', () => {
	const clock = new ManualClock();
	const random = new SeededRandomSource(11);
	let owner = new ReadinessGrants({clock});
	const validUntil = new Map<string, number>();
	let granted = 0;
	for (let step = 0; step < 2000; step++) {
		clock.advance(250);
		if (step % 400 === 399) {
			owner = new ReadinessGrants({clock});
		}

		owner.confirmOwner();
		for (let index = 0; index < 11; index++) {
			const host = `h${index}` as HostId;
			// Hosts 8 to 10 are the only ones of their failure domain.
			const failureDomain = (index < 8 ? 'z' : 'y') as FailureDomain;
			const isFrozen = random.next() < 0.1;
			const isReady = (validUntil.get(host) ?? 0) <= clock.monotonic();
			if (isFrozen) {
				continue;
			}

			const load = {delayMilliseconds: 400, usedShare: 1};
			owner.record(
				{host, failureDomain, isReady, wantsRest: isReady, ...load},
				0,
			);
			const milliseconds = owner.grantFor(host);
			if (milliseconds !== undefined && isReady) {
				granted++;
				assert.equal(failureDomain, 'z');
				validUntil.set(host, clock.monotonic() + milliseconds);
			}
		}

		const away = [...validUntil.values()].filter(
			(until) => until > clock.monotonic(),
		);
		assert.ok(away.length <= 2, `${away.length} hosts at step ${step}`);
	}

	assert.ok(granted > 50, String(granted));
});

// Guards against turns without work on a host that accepts fast, and against a host that only accepts.
test('only long turns that accept connections in a row hold back other work, at most 16 of them', () => {
	for (const [turnMilliseconds, isHeld] of [
		[1, false],
		[40, true],
	] as const) {
		const clock = new ManualClock();
		const pressure = new AcceptPressure({clock});
		let held = 0;
		let longest = 0;
		for (let turn = 0; turn < 200; turn++) {
			clock.advance(turnMilliseconds);
			pressure.recordAccepted();
			held = pressure.endTurn() ? 0 : held + 1;
			longest = Math.max(longest, held);
		}

		assert.equal(longest, isHeld ? 16 : 0);
		assert.ok(pressure.endTurn(), 'a turn without a connection works');
		assert.ok(!pressure.isActive);
	}
});
