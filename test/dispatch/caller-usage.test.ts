import assert from 'node:assert/strict';
import {test} from 'node:test';
import {create} from '@bufbuild/protobuf';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type CallerId,
	type CustomerName,
	type PoolName,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {CallerUsage} from '../../src/core/fairness/caller-usage.js';
import {callerOf} from '../../src/core/fairness/customer-callers.js';
import {
	DispatchQueue,
	type QueuedWork,
} from '../../src/core/fairness/dispatch-queue.js';
import {
	ReportRequestSchema,
	ReportResponseSchema,
} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {ShareReports} from '../../src/services/forwarding/reports/share-reports.js';

const pool = 'p' as PoolName;
const [x, y] = ['x', 'y'].map((name) => callerOf(name as CustomerName)) as [
	CallerId,
	CallerId,
];

function work(name: string, caller: CallerId): QueuedWork {
	return {
		request: name as RequestId,
		caller,
		urgency: 'standard',
		isLong: false,
		routingKey: 'model',
		expectedMilliseconds: 10,
		deadline: Number.POSITIVE_INFINITY,
	};
}

/** Callers of the next requests that leave a queue with ten of x and then ten of y. */
function nextCallers(usage: CallerUsage, count: number): CallerId[] {
	const queue = new DispatchQueue({clock: new ManualClock(), usage});
	for (const caller of [x, y]) {
		for (let index = 0; index < 10; index++) {
			queue.enqueue(work(`${caller}-${index}`, caller));
		}
	}

	return Array.from(
		{length: count},
		() => queue.take(() => 'a' as TargetId)!.work.caller,
	);
}

/** Reports of one host to another, and its response. */
function report(from: ShareReports, host: string, to: ShareReports): void {
	const request = create(ReportRequestSchema, {host, ...from.requestFields()});
	to.handleRequest(request);
	from.handleResponse(
		create(ReportResponseSchema, {...to.responseFields(request)}),
		{address: '', ageMilliseconds: 0},
	);
}

// Guards against a customer that gets a share on each host instead of one of the fleet.
test('a caller with work on other hosts yields until the others have as much', () => {
	const usage = new CallerUsage({
		clock: new ManualClock(),
		others: (caller) => (caller === x ? 50 : 0),
		callers: () => [x],
	});
	const callers = nextCallers(usage, 14);
	assert.deepEqual(callers.slice(0, 5), [y, y, y, y, y]);
	assert.equal(callers.filter((caller) => caller === y).length, 9);
});

// Guards against a caller that must pay for long for what others left idle, and against memory that grows with the names of callers.
test('past work counts half after the half-life, and callers without any are forgotten', () => {
	const clock = new ManualClock();
	const usage = new CallerUsage({clock, others: () => 0, callers: () => []});
	usage.record(x, 1000);
	clock.advance(2000);
	assert.equal(usage.get(x), 500);
	for (let index = 0; index < 3000; index++) {
		usage.record(`caller-${index}` as CallerId, 2);
		clock.advance(100);
	}

	assert.ok(usage.ownByCaller().size < 200);
});

// Guards against work that counts twice on its way through a relay, or comes back to the host that did it.
test('each host learns the work of all others once, through a relay and the owner', () => {
	const clock = new ManualClock();
	const [owner, relay, leaf, other] = Array.from(
		{length: 4},
		() => new ShareReports({clock}),
	) as [ShareReports, ShareReports, ShareReports, ShareReports];
	for (const [index, host] of [owner, relay, leaf, other].entries()) {
		host.usage(pool).record(x, 10 ** index);
	}

	for (let round = 0; round < 4; round++) {
		report(leaf, 'leaf', relay);
		report(relay, 'relay', owner);
		report(other, 'other', owner);
		for (const host of [owner, relay, leaf, other]) {
			assert.ok(host.usage(pool).get(x) <= 1111);
		}
	}

	for (const host of [owner, relay, leaf, other]) {
		assert.equal(host.usage(pool).get(x), 1111);
	}
});

// Guards against the work of a host that has ended, or of an owner that stalls, that counts for ever, and against hosts of older builds that are taken for idle for ever.
test('lost and repeated reports change nothing, and what a host said expires', () => {
	const clock = new ManualClock();
	const owner = new ShareReports({clock});
	const host = new ShareReports({clock});
	host.usage(pool).record(x, 100);
	const request = create(ReportRequestSchema, {
		host: 'h',
		...host.requestFields(),
	});
	owner.handleRequest(request);
	owner.handleRequest(request);
	assert.equal(owner.usage(pool).get(x), 100);
	clock.advance(2999);
	assert.equal(owner.usage(pool).get(x), 100);
	clock.advance(1);
	assert.equal(owner.usage(pool).get(x), 0);

	owner.handleRequest(request);
	owner.handleRequest(create(ReportRequestSchema, {host: 'h'}));
	assert.equal(owner.usage(pool).get(x), 0);
});

// Guards against reports that grow with the number of customers.
test('a report names the customers with the most work', () => {
	const host = new ShareReports({clock: new ManualClock()});
	for (let index = 0; index < 1000; index++) {
		host.usage(pool).record(callerOf(`c${index}` as CustomerName), index + 1);
	}

	const {customerShares} = create(ReportRequestSchema, host.requestFields());
	const [{customers} = {customers: []}] = customerShares!.pools;
	assert.equal(customers.length, 64);
	assert.equal(customers[0]!.recentMilliseconds, 1000);
});

// Guards against a customer that floods the queue and has the requests of the others refused for its own backlog.
test('the queue ahead of a caller counts the others only as far as they take turns', () => {
	const queue = new DispatchQueue({clock: new ManualClock()});
	for (let index = 0; index < 50; index++) {
		queue.enqueue(work(`x${index}`, x));
	}

	queue.enqueue(work('y', y));
	const ahead = (caller: CallerId) =>
		queue.countAhead(work('new', caller), false, () => true);
	assert.equal(ahead(x), 51);
	assert.equal(ahead(y), 3);
	assert.equal(
		queue.countAhead({urgency: 'standard', isLong: false}, false, () => true),
		51,
	);
});

// Guards against other decisions in a deployment without customers, whose requests all have the shared caller.
test('without customers the order of the queue and what a host reports are as before', () => {
	const step = fc.record({
		isTaken: fc.boolean(),
		urgency: fc.constantFrom('urgent', 'standard', 'deferred'),
		routingKey: fc.constantFrom('m1', 'm2'),
		objective: fc.integer({min: 1, max: 300}),
		milliseconds: fc.nat(100),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 80}), (steps) => {
			const clock = new ManualClock();
			const reports = new ShareReports({clock});
			const queues = [undefined, reports.usage(pool)].map(
				(usage) => new DispatchQueue({clock, usage}),
			);
			for (const [index, {isTaken, objective, ...each}] of steps.entries()) {
				clock.advance(each.milliseconds);
				const added = {
					...work(`r${index}`, callerOf(undefined)),
					...each,
					expectedMilliseconds: each.milliseconds,
					startObjectiveDeadline: clock.monotonic() + objective,
				};
				const results = queues.map((queue) => {
					queue.deprioritizeLate();
					const matches = () => true;
					const ahead = queue.countAhead(added, false, matches);
					assert.equal(
						ahead,
						queue.countAhead({...added, caller: undefined!}, false, matches),
					);
					const taken = isTaken
						? queue.take(() => 'a' as TargetId)?.work.request
						: queue.enqueue(added).isOk();
					return {ahead, taken, workAhead: queue.workAhead(added)};
				});
				assert.deepEqual(results[1], results[0]);
			}

			assert.deepEqual(reports.requestFields(), {});
		}),
		{seed: 20_261_206},
	);
});
