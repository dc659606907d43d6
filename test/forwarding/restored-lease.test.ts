import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type HostId} from '../../src/contracts/ids.js';
import {
	type OwnerRecords,
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
/** Positions of a restored log are greater than all before. */
const generationSize = 1_000_000;

/** In-memory log that can be restored to an earlier length. An append succeeds only at the end of the log. */
class RestorableLog {
	isAway = false;
	private generation = 0;
	private records: PositionedOwnerRecord[] = [];

	get length(): number {
		return this.records.length;
	}

	restore(length: number): void {
		this.generation++;
		this.records = this.records.slice(0, length).map((record, index) => ({
			...record,
			position: this.positionAt(index),
			isFromCopy: true,
		}));
	}

	append({record, expectedEnd}: LeaseAppend) {
		const end = this.positionAt(this.records.length);
		if (end === expectedEnd) {
			this.records.push({...record, position: end, isFromCopy: false});
			return {kind: 'appended' as const, position: end};
		}

		return {
			kind: 'conflict' as const,
			next: end,
			isRestored: this.isOlder(expectedEnd),
		};
	}

	read(from: number | undefined): OwnerRecords {
		const isRestored =
			from === undefined ? this.generation > 0 : this.isOlder(from);
		const start = from === undefined || isRestored ? 0 : from % generationSize;
		return {
			records: this.records.slice(start),
			next: this.positionAt(this.records.length),
			isRestored,
		};
	}

	private isOlder(position: number): boolean {
		return Math.floor(position / generationSize) < this.generation;
	}

	private positionAt(offset: number): number {
		return this.generation * generationSize + offset;
	}
}

function createLease(host: string): OwnerLease {
	return new OwnerLease(
		{host: host as HostId, incarnation: `${host}-1`, peerAddress: host},
		times,
	);
}

/** Performs the next operation of the lease; the log responds immediately unless it is away. */
function step(
	lease: OwnerLease,
	log: RestorableLog,
	now: number,
	isHolderResponding = false,
): void {
	const next = lease.nextStep(now, isHolderResponding);
	if (next.kind === 'read' && !log.isAway) {
		lease.applyRecords(log.read(lease.readPosition), now);
	} else if (next.kind === 'append') {
		if (log.isAway) {
			lease.handleAppendFailure();
		} else {
			lease.applyAppendOutcome(next.append, log.append(next.append), now, now);
		}
	}
}

function stepUntil(
	lease: OwnerLease,
	log: RestorableLog,
	from: number,
	to: number,
): void {
	for (let now = from; now <= to; now += 100) {
		step(lease, log, now);
	}
}

// Guards against an earlier holder that finds its own record last in the copy, and gives orders beside the later holder
// whose records are lost.
test('the holder according to the copy does not hold the lease', () => {
	const log = new RestorableLog();
	const [first, second] = [createLease('a'), createLease('b')];
	stepUntil(first, log, 0, 1000);
	const {length} = log;
	stepUntil(second, log, 1000, 7500);
	assert.notEqual(second.orderToken(7500), undefined);
	log.restore(length);
	step(first, log, 7600);
	assert.equal(first.isHolder, false);
	assert.equal(first.holder, undefined);
	assert.equal(first.orderToken(7600), undefined);
});

// Guards against placement that stands still after a restore although its owner went on without a gap.
test('a holder whose lease has not expired claims it anew at once and goes on with a greater token', () => {
	const log = new RestorableLog();
	const lease = createLease('a');
	stepUntil(lease, log, 0, 5000);
	const before = lease.orderToken(5000)!;
	log.restore(1);
	stepUntil(lease, log, 5100, 6200);
	const after = lease.orderToken(6200);
	assert.ok(after !== undefined && after > before);
});

test('a holder whose lease expired while the store was away waits until no lost holder can give orders', () => {
	const log = new RestorableLog();
	const lease = createLease('a');
	stepUntil(lease, log, 0, 5000);
	log.isAway = true;
	stepUntil(lease, log, 5100, 7100);
	log.isAway = false;
	log.restore(1);
	stepUntil(lease, log, 7200, 7600);
	assert.equal(lease.isHolder, true);
	const wait = times.validityMilliseconds + times.handoverMilliseconds;
	stepUntil(lease, log, 7700, 7100 + wait);
	assert.equal(lease.orderToken(7100 + wait), undefined);
	stepUntil(lease, log, 7100 + wait, 7900 + wait);
	assert.notEqual(lease.orderToken(7900 + wait), undefined);
});

// Guards against a host that was the holder before the first restore and takes itself for the last one after the second.
test('a holder of before two restores does not go on with orders at once', () => {
	const log = new RestorableLog();
	const [first, second] = [createLease('a'), createLease('b')];
	stepUntil(first, log, 0, 1000);
	log.restore(1);
	step(first, log, 1700);
	stepUntil(second, log, 1800, 9000);
	assert.notEqual(second.orderToken(9000), undefined);
	log.restore(1);
	stepUntil(first, log, 9100, 10_000);
	assert.equal(first.isHolder, true);
	assert.equal(first.orderToken(10_000), undefined);
});

test('a copy without any record of the lease frees it', () => {
	const log = new RestorableLog();
	const lease = createLease('a');
	stepUntil(lease, log, 0, 2000);
	log.restore(0);
	stepUntil(lease, log, 2100, 3200);
	assert.equal(lease.isHolder, true);
	assert.notEqual(lease.orderToken(3200), undefined);
});

// Guards against a record that was sent before the restore and lands after it: it must not make its host the holder.
test('a renewal that lands in the restored log by chance makes nobody the holder', () => {
	const log = new RestorableLog();
	const [first, second] = [createLease('a'), createLease('b')];
	stepUntil(first, log, 0, 1000);
	step(second, log, 1000);
	const {records, next} = log.read(undefined);
	const stray: PositionedOwnerRecord = {
		...records[0]!,
		kind: 'renewed',
		host: 'b' as HostId,
		incarnation: 'b-1',
		position: next,
		isFromCopy: true,
	};
	second.applyRecords(
		{records: [stray], next: next + 1, isRestored: false},
		1100,
	);
	assert.equal(second.isHolder, false);
	assert.equal(second.holder, undefined);
});

// Guards against two hosts that order in turn, and against tokens that are given out twice, whatever is lost when.
test('orders of two hosts lie a handover apart and tokens rise over any sequence of restores', () => {
	const action = fc.record({
		host: fc.nat({max: 2}),
		steps: fc.integer({min: 1, max: 20}),
		restoreTo: fc.option(fc.nat({max: 12}), {freq: 2}),
		isAway: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(action, {maxLength: 40}), (actions) => {
			const log = new RestorableLog();
			const leases = ['a', 'b', 'c'].map((host) => createLease(host));
			let now = 0;
			let last: {host: number; at: number; token: number} | undefined;
			for (const {host, steps, restoreTo, isAway} of actions) {
				log.isAway = isAway && restoreTo === null;
				if (restoreTo !== null) {
					log.restore(Math.min(restoreTo, log.length));
				}

				for (let count = 0; count < steps; count++) {
					now += 300;
					step(leases[host]!, log, now);
					for (const [index, lease] of leases.entries()) {
						const token = lease.orderToken(now);
						if (token === undefined) {
							continue;
						}

						if (last && last.host !== index) {
							assert.ok(now - last.at >= times.handoverMilliseconds);
							assert.ok(token > last.token);
						}

						last = {host: index, at: now, token};
					}
				}
			}
		}),
		{numRuns: 2000},
	);
});
