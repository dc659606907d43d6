import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type CallerId,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {
	DispatchQueue,
	type QueuedWork,
} from '../../src/core/fairness/dispatch-queue.js';

const clock = new ManualClock();
const target = 't' as TargetId;

function work(id: string, change: Partial<QueuedWork>): QueuedWork {
	return {
		request: id as RequestId,
		caller: 'c' as CallerId,
		urgency: 'standard',
		isLong: false,
		routingKey: 'm',
		expectedMilliseconds: 10,
		deadline: Infinity,
		...change,
	};
}

function takeAll(queue: DispatchQueue): string[] {
	const taken: string[] = [];
	let bound = queue.take(() => target);
	while (bound) {
		taken.push(bound.work.request);
		bound = queue.take(() => target);
	}

	return taken;
}

// Under overload, dispatching the oldest work first would make every response late.
test('work that has missed its start objective does not delay work that can still meet its own', () => {
	const queue = new DispatchQueue({clock});
	queue.enqueue(work('old', {startObjectiveDeadline: clock.monotonic() + 100}));
	clock.advance(150);
	queue.enqueue(work('new', {startObjectiveDeadline: clock.monotonic() + 100}));
	queue.enqueue(
		work('deferred', {
			urgency: 'deferred',
			startObjectiveDeadline: clock.monotonic() + 1000,
		}),
	);
	queue.deprioritizeLate();
	assert.deepEqual(takeAll(queue), ['new', 'deferred', 'old']);
	assert.equal(queue.size, 0);
});

// Late work changes its lane in the queue and must be neither lost nor counted twice.
test('work that has missed its start objective can still be cancelled and removed as infeasible', () => {
	const queue = new DispatchQueue({clock});
	for (const id of ['a', 'b', 'c']) {
		queue.enqueue(
			work(id, {
				startObjectiveDeadline: clock.monotonic() - 1,
				startDeadline: clock.monotonic() + (id === 'c' ? 50 : 500),
			}),
		);
	}

	queue.deprioritizeLate();
	assert.equal(queue.cancel('a' as RequestId)?.request, 'a');
	clock.advance(100);
	assert.deepEqual(
		queue.removeInfeasible().map(({request}) => request),
		['c'],
	);
	assert.deepEqual(takeAll(queue), ['b']);
	assert.equal(queue.size, 0);
});
