import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type HostId,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {StartLimiter} from '../../src/core/admission/start-limiter.js';
import {SlotPolicy} from '../../src/core/routing/slot-policy.js';
import {SlotReservation} from '../../src/core/routing/slot-reservation.js';
import {type TargetLoad} from '../../src/core/routing/target-load-tracker.js';

const target = 't' as TargetId;

function load(changes: Partial<TargetLoad>): TargetLoad {
	return {
		target,
		slots: 12,
		leaving: false,
		localOutstanding: 0,
		localLong: 0,
		remoteOutstanding: 0,
		remoteConfidence: 1,
		...changes,
	};
}

test('less urgent requests leave slots of a target to more urgent ones', () => {
	const reservation = new SlotReservation();
	const full = load({localOutstanding: 2, remoteOutstanding: 10});
	const nearlyFull = load({localOutstanding: 1, remoteOutstanding: 9});
	assert.deepEqual(
		[0, 1, 2].map((level) => reservation.hasCapacity(full, level)),
		[true, false, false],
	);
	assert.deepEqual(
		[0, 1, 2].map((level) => reservation.hasCapacity(nearlyFull, level)),
		[true, true, false],
	);
});

test('a host that is not at a busy target tries it when its report is old', () => {
	const reservation = new SlotReservation();
	const busy = {remoteOutstanding: 13};
	assert.ok(!reservation.hasCapacity(load(busy), 1));
	assert.ok(reservation.hasCapacity(load({...busy, remoteConfidence: 0.2}), 1));
	assert.ok(
		!reservation.hasCapacity(
			load({...busy, localOutstanding: 1, remoteConfidence: 0.2}),
			1,
		),
	);
});

test('many hosts with a share of less than one request each try a target that was reported full', () => {
	const old = load({slots: 6, remoteOutstanding: 6, remoteConfidence: 0.2});
	const few = new SlotPolicy({
		host: 'a' as HostId,
		overcommitShare: 0,
		allowsForReportAge: true,
	});
	few.setHostCount(8);
	assert.ok(!few.hasCapacity(old, false));
	few.setHostCount(24);
	assert.ok(few.hasCapacity(old, false));
	assert.ok(!few.hasCapacity({...old, remoteConfidence: 1}, false));
});

/** Starts of two hosts in the second half of a time in which they share a target, the first of which begins with a higher limit. */
function startsOfTwoHosts(isIncreasePerRound: boolean): number[] {
	const clock = new ManualClock(0);
	const durationMilliseconds = 20_000;
	const startsPerSecond = 40;
	const objectiveMilliseconds = 400;
	const hosts = [12, 1].map((initialLimit) => {
		const limiter = new StartLimiter({clock, initialLimit});
		limiter.setIncreasePerRound(isIncreasePerRound);
		return limiter;
	});
	const queue: Array<{readonly host: number; readonly request: RequestId}> = [];
	const starts = [0, 0];
	let sent = 0;
	const stepMilliseconds = 1000 / startsPerSecond;
	for (let time = 0; time < durationMilliseconds; time += stepMilliseconds) {
		clock.advance(stepMilliseconds);
		for (const [host, limiter] of hosts.entries()) {
			while (limiter.hasCapacity(target, 0) && queue.length < 64) {
				const request = `r${sent}` as RequestId;
				sent++;
				limiter.recordSent(target, {request, level: 0, objectiveMilliseconds});
				queue.push({host, request});
			}
		}

		const next = queue.shift();
		if (next) {
			hosts[next.host]!.recordStarted(target, next.request);
			starts[next.host]! += time >= durationMilliseconds / 2 ? 1 : 0;
		}
	}

	return starts;
}

test('a host whose limit of starts is low catches up with another one at the same target', () => {
	const [first, second] = startsOfTwoHosts(true);
	const [firstBefore, secondBefore] = startsOfTwoHosts(false);
	assert.ok(
		second! / first! >= 0.7,
		`${second} starts beside ${first}, ${secondBefore} beside ${firstBefore} with an increase for each start`,
	);
});
