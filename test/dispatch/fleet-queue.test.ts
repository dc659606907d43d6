import assert from 'node:assert/strict';
import {test} from 'node:test';
import {create} from '@bufbuild/protobuf';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type ForwardingDocument} from '../../src/contracts/forwarding-document.js';
import {
	type CustomerName,
	type ModelId,
	type PoolName,
} from '../../src/contracts/ids.js';
import {
	FleetQueue,
	toLevelKey,
	type QueueReport,
} from '../../src/core/admission/fleet-queue.js';
import {
	ModelBacklog,
	type ArrivingWork,
} from '../../src/core/admission/model-backlog.js';
import {CallerUsage} from '../../src/core/fairness/caller-usage.js';
import {callerOf} from '../../src/core/fairness/customer-callers.js';
import {
	ReportRequestSchema,
	ReportResponseSchema,
} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {FleetSharing} from '../../src/services/forwarding/reports/fleet-sharing.js';
import {QueueReports} from '../../src/services/forwarding/reports/queue-reports.js';
import {type ReportFields} from '../../src/services/forwarding/reports/report-part.js';

const model = 'm' as ModelId;
const shared = callerOf(undefined);
const customer = callerOf('c' as CustomerName);

function report(
	milliseconds: number,
	{level = 1, caller = shared, dispatched = [0, 2000, 0]} = {},
): QueueReport {
	return {
		hosts: 1,
		waiting: [{model, level, caller, milliseconds}],
		dispatched: new Map(
			dispatched.map((each, index) => [toLevelKey(model, index), each]),
		),
	};
}

function arriving(changes: Partial<ArrivingWork> = {}): ArrivingWork {
	return {
		model,
		level: 1,
		caller: shared,
		expectedMilliseconds: 100,
		objectiveMilliseconds: 400,
		timeoutMilliseconds: 2000,
		requestsAhead: 0,
		workAhead: () => 0,
		...changes,
	};
}

function createBacklog(clock: ManualClock, fleetQueue?: FleetQueue) {
	const random = new SeededRandomSource(1);
	return new ModelBacklog({clock, random, fleetQueue: () => fleetQueue});
}

// Guards against a refusal that depends on the host that the caller reached, and against refusals by data that is too old.
test('what one queue of all hosts would not start within the objective is refused by a host with an empty queue, while the data is current', () => {
	const clock = new ManualClock();
	const queue = new FleetQueue({clock});
	const backlog = createBacklog(clock, queue);
	queue.applyUpstream(report(50), 0);
	assert.equal(backlog.hopelessWait(arriving()), undefined);
	queue.applyUpstream(report(1000), 0);
	const refused = backlog.hopelessWait(arriving());
	assert.ok(refused && refused.waitMilliseconds > 100);
	assert.equal(
		backlog.hopelessWait(
			arriving({objectiveMilliseconds: 10_000, timeoutMilliseconds: 10_000}),
		),
		undefined,
	);
	assert.equal(createBacklog(clock).hopelessWait(arriving()), undefined);

	clock.advance(2000);
	assert.ok(backlog.hopelessWait(arriving()));
	clock.advance(1);
	assert.equal(backlog.hopelessWait(arriving()), undefined);
});

// Guards against callers that all return at once, or before there is room.
test('refused callers return after the wait, at different times', () => {
	const clock = new ManualClock();
	const queue = new FleetQueue({clock});
	const backlog = createBacklog(clock, queue);
	queue.applyUpstream(report(4000), 0);
	const delays = Array.from({length: 50}, () =>
		backlog.hopelessWait(arriving())!,
	);
	for (const {waitMilliseconds, retryAfterMilliseconds} of delays) {
		assert.ok(retryAfterMilliseconds >= waitMilliseconds);
		assert.ok(retryAfterMilliseconds <= waitMilliseconds * 2 + 1);
	}

	const distinct = new Set(delays.map((each) => each.retryAfterMilliseconds));
	assert.ok(distinct.size > 40);
});

// Guards against accepted work that more urgent work then pushes out, and against urgent work refused for less urgent work.
test('the wait of a level counts the more urgent work that waits and that keeps coming', () => {
	const clock = new ManualClock();
	const waitOf = (level: number, dispatched: number[]) => {
		const queue = new FleetQueue({clock});
		queue.applyUpstream(report(2000, {level: 1, dispatched}), 0);
		return createBacklog(clock, queue).hopelessWait(
			arriving({level, objectiveMilliseconds: 0}),
		)?.waitMilliseconds;
	};

	assert.equal(waitOf(0, [1000, 1000, 0]), undefined);
	const alone = waitOf(1, [0, 2000, 0])!;
	const besideUrgent = waitOf(1, [1000, 1000, 0])!;
	assert.ok(Math.abs(besideUrgent - 2 * alone) < 1);
	assert.ok(waitOf(2, [1000, 900, 100])! > besideUrgent);
});

// Guards against a host that counts its own queue twice, through a relay, and against data of an owner that stalls that looks recent.
test('a relay passes on the queues of all others, with their age', () => {
	const clock = new ManualClock();
	const create_ = (own: QueueReport, isActive = true) => {
		const queue = new FleetQueue({clock});
		return {
			queue,
			part: new QueueReports({queue, isActive: () => isActive, own: () => own}),
		};
	};

	const owner = create_(report(1));
	const relay = create_(report(10));
	const leaf = create_(report(100));
	const exchange = (
		from: typeof owner,
		host: string,
		to: typeof owner,
		ageMilliseconds = 0,
	) => {
		const request = create(ReportRequestSchema, {
			host,
			...from.part.requestFields(),
		});
		to.part.handleRequest(request);
		const response = create(ReportResponseSchema, {
			...to.part.responseFields(request),
		});
		from.part.handleResponse(response, {address: '', ageMilliseconds});
	};

	for (let round = 0; round < 3; round++) {
		owner.part.reportLocally();
		exchange(leaf, 'leaf', relay);
		exchange(relay, 'relay', owner);
	}

	const ahead = ({queue}: typeof owner) => queue.workAhead(model, 1, shared, 0);
	assert.deepEqual([owner, relay, leaf].map(ahead), [110, 101, 11]);

	clock.advance(1500);
	exchange(leaf, 'leaf', relay, 600);
	assert.equal(leaf.queue.ageMilliseconds, 1500);
	clock.advance(501);
	exchange(leaf, 'leaf', relay);
	assert.equal(leaf.queue.ageMilliseconds, 2001);
	assert.equal(leaf.queue.isCurrent, false);

	const inactive = create_(report(1), false);
	exchange(leaf, 'leaf', inactive);
	exchange(inactive, 'other', leaf);
	assert.deepEqual(inactive.part.requestFields(), {});
	assert.equal(ahead(inactive), 0);
	assert.equal(inactive.queue.isCurrent, false);
});

// Guards against a customer within its share that leaves slots free for others, and one beyond it that leaves none.
test('only the customers with the most work let that of others go first', () => {
	const clock = new ManualClock();
	const queue = new FleetQueue({clock});
	const others = new Map([
		[customer, 1000],
		[callerOf('small' as CustomerName), 10],
	]);
	const usage = new CallerUsage({
		clock,
		others: (caller) => others.get(caller) ?? 0,
		callers: () => others.keys(),
	});
	queue.applyUpstream(
		report(300, {caller: callerOf('small' as CustomerName)}),
		0,
	);
	const preceding = (name: string, level = 1) =>
		queue.precedingWork(model, level, callerOf(name as CustomerName), usage);
	assert.equal(preceding('c'), 300);
	usage.record(callerOf('middle' as CustomerName), 500);
	assert.equal(preceding('middle'), 0);
	assert.equal(preceding('middle', 2), 300);
	assert.equal(preceding('c', 0), 0);
	clock.advance(2001);
	assert.equal(preceding('c'), 0);
});

// Guards against other decisions in deployments without the setting, without customers, or in pools with more slots.
test('only pools with few enough slots are admitted by the queue of the fleet, and without them and customers nothing is reported', () => {
	const create_ = (workAwareSlots: number, customers: readonly unknown[]) => {
		const sharing = new FleetSharing({
			clock: new ManualClock(),
			events: new NullEventLogger(),
			workAwareSlots,
			admitsByFleetQueue: true,
		});
		const pools = [12, 24, undefined].map((slots) => ({
			name: `p${slots}`,
			engine: {slots},
		}));
		sharing.applyDocument({customers, pools} as unknown as ForwardingDocument);
		return {
			admitted: pools
				.filter(({name}) => sharing.admitsByQueue(name as PoolName))
				.map(({name}) => name),
			fields: Object.assign(
				{},
				...sharing.parts.map((part) => part.requestFields()),
			) as ReportFields,
		};
	};

	assert.deepEqual(create_(0, []), {admitted: [], fields: {}});
	assert.deepEqual(create_(12, []).admitted, ['p12']);
	assert.deepEqual(create_(24, []).admitted, ['p12', 'p24']);
	assert.ok(create_(24, []).fields.fleetQueue);
	assert.deepEqual(create_(0, [{}]).admitted, []);
	assert.ok(create_(0, [{}]).fields.fleetQueue);
});

// Guards against the work that all hosts accept in the first second of a burst, before the reports show it.
test('until the next report the queues of the others are taken to grow as that of this host does', () => {
	const clock = new ManualClock();
	const queue = new FleetQueue({clock});
	queue.applyUpstream({...report(0), hosts: 10}, 0);
	queue.recordOwn(report(20));
	assert.equal(queue.growth(model, 1, 20), 0);
	assert.equal(queue.growth(model, 1, 10), 0);
	assert.equal(queue.growth(model, 1, 50), 300);
	const backlog = createBacklog(clock, queue);
	const waitOf = (own: number) =>
		backlog.hopelessWait(arriving({workAhead: () => own}))?.waitMilliseconds;
	assert.equal(waitOf(20), undefined);
	assert.ok(waitOf(50)! > 350);
});
