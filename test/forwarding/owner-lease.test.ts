import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type HostId} from '../../src/contracts/ids.js';
import {
	type OwnerRecord,
	type PositionedOwnerRecord,
} from '../../src/contracts/shared-store.js';
import {
	OwnerLease,
	type LeaseAppend,
} from '../../src/core/leases/owner-lease.js';

const times = {
	renewalMilliseconds: 800,
	validityMilliseconds: 1500,
	takeoverDelayMilliseconds: 1800,
	handoverMilliseconds: 3000,
};

/** In-memory log. An append succeeds only at the end of the log. */
class Log {
	readonly records: PositionedOwnerRecord[] = [];

	append({record, expectedEnd}: LeaseAppend) {
		if (this.records.length !== expectedEnd) {
			return {
				kind: 'conflict' as const,
				next: this.records.length,
				isRestored: false,
			};
		}

		const position = this.records.length;
		this.records.push({...record, position, isFromCopy: false});
		return {kind: 'appended' as const, position};
	}

	read(from: number | undefined) {
		return {
			records: this.records.slice(from ?? 0),
			next: this.records.length,
			isRestored: false,
		};
	}
}

/** A log whose last record is unreadable. */
class UnreadableLog extends Log {
	override read(from: number | undefined) {
		const next = this.records.length + 1;
		return {...super.read(from), next, isEndUnreadable: from !== next};
	}

	override append({record}: LeaseAppend) {
		const position = this.records.length + 1;
		this.records.push({...record, position, isFromCopy: false});
		return {kind: 'appended' as const, position};
	}
}

function candidate(
	host: string,
): Pick<OwnerRecord, 'host' | 'incarnation' | 'peerAddress'> {
	return {host: host as HostId, incarnation: `${host}-1`, peerAddress: host};
}

/** Performs the next operation of the lease; the log responds immediately. */
function step(lease: OwnerLease, log: Log, now: number): void {
	const next = lease.nextStep(now, false);
	if (next.kind === 'read') {
		lease.applyRecords(log.read(lease.readPosition), now);
	} else if (next.kind === 'append') {
		lease.applyAppendOutcome(next.append, log.append(next.append), now, now);
	}
}

test('the first holder in an empty log may send orders immediately', () => {
	const log = new Log();
	const lease = new OwnerLease(candidate('a'), times);
	step(lease, log, 0);
	step(lease, log, 1);
	assert.equal(lease.isHolder, true);
	assert.equal(lease.orderToken(2), 1);
});

test('two hosts that claim at the same time do not both hold the lease', () => {
	const log = new Log();
	const [first, second] = ['a', 'b'].map(
		(host) => new OwnerLease(candidate(host), times),
	) as [OwnerLease, OwnerLease];
	for (const now of [0, 1, 2, 3]) {
		step(first, log, now);
		step(second, log, now);
	}

	assert.equal(first.isHolder, true);
	assert.equal(second.isHolder, false);
	assert.equal(second.holder?.host, 'a');
});

// Guards against a holder that continues without renewals, for example behind a network partition.
test('a holder without renewals loses its token before another may claim', () => {
	const log = new Log();
	const lease = new OwnerLease(candidate('a'), times);
	step(lease, log, 0);
	step(lease, log, 0);
	assert.notEqual(lease.orderToken(times.validityMilliseconds - 1), undefined);
	assert.equal(lease.orderToken(times.validityMilliseconds), undefined);
	assert.ok(times.validityMilliseconds < times.takeoverDelayMilliseconds);
});

// Guards against a handover that waits longer than needed although the release states the time since the last order.
test('a released lease is claimed immediately and orders wait only for the rest of the handover time', () => {
	const log = new Log();
	const former = new OwnerLease(candidate('a'), times);
	step(former, log, 0);
	step(former, log, 0);
	const release = former.createRelease(2500, 10)!;
	former.applyAppendOutcome(release, log.append(release), 10, 10);
	const next = new OwnerLease(candidate('b'), times);
	step(next, log, 20);
	step(next, log, 21);
	assert.equal(next.isHolder, true);
	assert.equal(next.orderToken(500), undefined);
	assert.notEqual(next.orderToken(521), undefined);
});

test('a restarted host does not hold the lease of its previous incarnation', () => {
	const log = new Log();
	const former = new OwnerLease(candidate('a'), times);
	step(former, log, 0);
	step(former, log, 0);
	const restarted = new OwnerLease(
		{...candidate('a'), incarnation: 'a-2'},
		times,
	);
	step(restarted, log, 100);
	assert.equal(restarted.isHolder, false);
});

/**
 * One step of a host: `run` performs its next operation, `lose` loses the response to its append, which the log
 * may also receive later, `freeze` suspends it and `hear` delivers the lease status of another host to it. `step-down`
 * gives up the lease, with or without a confirmed append.
 */
type Event =
	| {readonly kind: 'run'; readonly host: number; readonly pause: number}
	| {readonly kind: 'lose'; readonly host: number; readonly late: boolean}
	| {readonly kind: 'freeze'; readonly host: number; readonly for: number}
	| {readonly kind: 'hear'; readonly host: number; readonly from: number}
	| {
			readonly kind: 'step-down';
			readonly host: number;
			readonly outcome: 'confirmed' | 'lost' | 'late' | 'failed';
	  };

/** Runs the events on three hosts and asserts the minimum time between orders of different holders. */
function checkOrderDistance(events: readonly Event[]): void {
	const log = new Log();
	const leases = [0, 1, 2].map(
		(host) => new OwnerLease(candidate(`h${host}`), times),
	);
	const frozenUntil = [0, 0, 0];
	const delayedAppends: LeaseAppend[] = [];
	let now = 0;
	let last: {host: number; at: number; token: number} | undefined;
	const orderedAt: Array<number | undefined> = [
		undefined,
		undefined,
		undefined,
	];
	for (const event of events) {
		now += event.kind === 'run' ? event.pause : 1;
		if (event.kind === 'freeze') {
			frozenUntil[event.host] = now + event.for;
			continue;
		}

		if (now < frozenUntil[event.host]!) {
			continue;
		}

		const lease = leases[event.host]!;
		if (event.kind === 'hear') {
			const at = orderedAt[event.from];
			const status =
				now < frozenUntil[event.from]!
					? undefined
					: leases[event.from]!.status(now, at && now - at);
			if (status && event.from !== event.host) {
				lease.applyHolderStatus(status, now);
			}

			continue;
		}

		if (event.kind === 'step-down') {
			const at = orderedAt[event.host];
			stepDown(lease, log, delayedAppends, {
				outcome: event.outcome,
				now,
				sinceLastOrder: at === undefined ? undefined : now - at,
			});
			continue;
		}

		if (event.kind === 'lose') {
			loseAppendResponse(lease, log, delayedAppends, event.late, now);
		} else {
			for (const append of delayedAppends.splice(0)) {
				log.append(append);
			}

			step(lease, log, now);
		}

		const token = lease.orderToken(now);
		if (token === undefined) {
			continue;
		}

		if (last && last.host !== event.host) {
			assert.ok(
				now - last.at >= times.handoverMilliseconds,
				`Orders of two holders were ${now - last.at} ms apart.`,
			);
			assert.ok(token > last.token, 'The token did not increase.');
		}

		last = {host: event.host, at: now, token};
		orderedAt[event.host] = now;
	}
}

function stepDown(
	lease: OwnerLease,
	log: Log,
	delayedAppends: LeaseAppend[],
	{
		outcome,
		now,
		sinceLastOrder,
	}: {
		readonly outcome: 'confirmed' | 'lost' | 'late' | 'failed';
		readonly now: number;
		readonly sinceLastOrder: number | undefined;
	},
): void {
	const append = lease.stepDown(sinceLastOrder, now);
	assert.equal(lease.orderToken(now), undefined);
	if (!append) {
		return;
	}

	if (outcome === 'confirmed') {
		lease.applyAppendOutcome(append, log.append(append), now, now);
		return;
	}

	if (outcome === 'late') {
		delayedAppends.push(append);
	} else if (outcome === 'lost') {
		log.append(append);
	}

	lease.handleAppendFailure();
}

function loseAppendResponse(
	lease: OwnerLease,
	log: Log,
	delayedAppends: LeaseAppend[],
	isLate: boolean,
	now: number,
): void {
	const next = lease.nextStep(now, false);
	if (next.kind !== 'append') {
		return;
	}

	if (isLate) {
		delayedAppends.push(next.append);
	} else {
		log.append(next.append);
	}

	lease.handleAppendFailure();
}

// Guards against a takeover that waits although the holder has reported that its lease expired.
test('a holder that has lost the log but responds to other hosts is replaced sooner', () => {
	const log = new Log();
	const former = new OwnerLease(candidate('a'), times);
	step(former, log, 0);
	step(former, log, 0);
	const next = new OwnerLease(candidate('b'), times);
	step(next, log, 100);
	// The previous holder sent its last order at 1000, and its lease expired at 1500.
	next.applyHolderStatus(former.status(1700, 700)!, 1700);
	step(next, log, 1800);
	assert.equal(next.isHolder, true);
	assert.equal(next.isValid(1800), true);
	step(next, log, 2700);
	step(next, log, 3600);
	assert.equal(next.orderToken(3999), undefined);
	assert.notEqual(next.orderToken(4001), undefined);
});

// Covers lost and delayed append responses, responses of the holder and hosts that freeze.
test('two holders never send orders within the handover time of each other', () => {
	const host = fc.integer({min: 0, max: 2});
	fc.assert(
		fc.property(
			fc.array(
				fc.oneof(
					{
						weight: 8,
						arbitrary: fc.record({
							kind: fc.constant('run' as const),
							host,
							pause: fc.integer({min: 0, max: 400}),
						}),
					},
					{
						weight: 2,
						arbitrary: fc.record({
							kind: fc.constant('lose' as const),
							host,
							late: fc.boolean(),
						}),
					},
					{
						weight: 3,
						arbitrary: fc.record({
							kind: fc.constant('hear' as const),
							host,
							from: host,
						}),
					},
					{
						weight: 1,
						arbitrary: fc.record({
							kind: fc.constant('step-down' as const),
							host,
							outcome: fc.constantFrom(
								'confirmed' as const,
								'lost' as const,
								'late' as const,
								'failed' as const,
							),
						}),
					},
					{
						weight: 1,
						arbitrary: fc.record({
							kind: fc.constant('freeze' as const),
							host,
							for: fc.integer({min: 100, max: 8000}),
						}),
					},
				),
				{minLength: 50, maxLength: 300},
			),
			checkOrderDistance,
		),
		{seed: 7, numRuns: 800},
	);
});

// Guards against a host that orders at once after one that held the lease for a moment: what the holder before both may
// still order is not over when the lease is released without an order.
test('a holder that releases the lease before it may send orders passes on the rest of its wait', () => {
	const log = new Log();
	const [first, second, third] = ['a', 'b', 'c'].map(
		(host) => new OwnerLease(candidate(host), times),
	) as [OwnerLease, OwnerLease, OwnerLease];
	for (let now = 0; now <= 1000; now += 100) {
		step(first, log, now);
	}

	assert.notEqual(first.orderToken(1000), undefined);
	let now = 1000;
	while (!second.isHolder) {
		now += 100;
		step(second, log, now);
	}

	assert.equal(second.orderToken(now), undefined);
	const release = second.createRelease(undefined, now)!;
	second.applyAppendOutcome(release, log.append(release), now, now);
	while (!third.isHolder) {
		now += 100;
		step(third, log, now);
	}

	assert.equal(third.orderToken(now), undefined);
	const lastOrderAt = 1000 + times.validityMilliseconds;
	for (; third.orderToken(now) === undefined; now += 100) {
		step(third, log, now);
	}

	assert.ok(now - lastOrderAt >= times.handoverMilliseconds);
	assert.ok(now < 10_000);
});

// Guards against a host without paths to targets that keeps the lease, and against one that cannot get it back.
test('a host that steps down gives no orders, and claims again at once or after an additional delay', () => {
	for (const delay of [0, 5000]) {
		const log = new Log();
		const lease = new OwnerLease(candidate('a'), times);
		step(lease, log, 0);
		step(lease, log, 0);
		const append = lease.stepDown(100, 500)!;
		assert.equal(lease.orderToken(500), undefined);
		lease.applyAppendOutcome(append, log.append(append), 500, 500);
		assert.equal(lease.isHolder, false);
		assert.equal(lease.holder, undefined);
		assert.equal(
			lease.nextStep(500 + delay, false, delay).kind,
			'append',
			'The lease is not claimed after the delay.',
		);
		assert.notEqual(lease.nextStep(499 + delay, false, delay).kind, 'append');
		step(lease, log, 500 + delay);
		assert.equal(lease.isHolder, true);
	}
});

// Guards against orders behind a release that may still reach the log.
test('a host whose release has an unknown outcome gives orders only after its next renewal is confirmed', () => {
	const log = new Log();
	const lease = new OwnerLease(candidate('a'), times);
	step(lease, log, 0);
	step(lease, log, 0);
	const append = lease.stepDown(undefined, 100)!;
	lease.handleAppendFailure();
	assert.equal(lease.stepDown(undefined, 150), undefined);
	step(lease, log, 200);
	assert.equal(lease.isHolder, true);
	assert.equal(lease.orderToken(200), undefined);
	step(lease, log, times.renewalMilliseconds);
	assert.notEqual(lease.orderToken(times.renewalMilliseconds), undefined);
	assert.equal(log.append(append).kind, 'conflict');
});

// Guards against orders too soon after those of the holder before last: a holder that waits for its first order steps
// down, its release is lost, and its status names no order.
test('the status of a holder that may not send orders yet passes on the rest of its wait', () => {
	const log = new Log();
	const [first, second, third] = ['a', 'b', 'c'].map(
		(host) => new OwnerLease(candidate(host), times),
	) as [OwnerLease, OwnerLease, OwnerLease];
	step(first, log, 0);
	step(first, log, 0);
	assert.notEqual(first.orderToken(0), undefined);
	let now = 0;
	while (!second.isHolder) {
		now += 100;
		step(second, log, now);
	}

	assert.notEqual(second.stepDown(undefined, now), undefined);
	second.handleAppendFailure();
	while (third.orderToken(now) === undefined) {
		now += 100;
		third.applyHolderStatus(second.status(now, undefined)!, now);
		step(third, log, now);
	}

	assert.ok(now >= times.validityMilliseconds + times.handoverMilliseconds);
});

// Guards against two owners when a later build claimed a released lease with a record that this one can't read.
test('a released lease with an unreadable record after it is taken over like one that is held', () => {
	const log = new UnreadableLog();
	log.records.push({
		...candidate('a'),
		kind: 'released',
		position: 0,
		isFromCopy: false,
	});
	const lease = new OwnerLease(candidate('b'), times);
	const {takeoverDelayMilliseconds, validityMilliseconds} = times;
	step(lease, log, 0);
	step(lease, log, takeoverDelayMilliseconds - 1);
	assert.equal(lease.isHolder, false);
	step(lease, log, takeoverDelayMilliseconds);
	assert.equal(lease.isHolder, true);
	const ordersFrom = validityMilliseconds + times.handoverMilliseconds;
	assert.ok(takeoverDelayMilliseconds < ordersFrom);
	lease.applyAppendOutcome(
		(lease.nextStep(ordersFrom, false) as {append: LeaseAppend}).append,
		{kind: 'appended', position: 9},
		ordersFrom - 1,
		ordersFrom,
	);
	assert.equal(lease.orderToken(ordersFrom - 1), undefined);
	assert.notEqual(lease.orderToken(ordersFrom), undefined);
});
