import assert from 'node:assert/strict';
import {test} from 'node:test';
import {errAsync, type ResultAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {
	type HostId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {
	NoResponseError,
	TargetOrderPort,
	type OrderOutcome,
	type TargetOrderState,
} from '../../src/contracts/target-orders.js';
import {TargetOrderTask} from '../../src/services/forwarding/targets/target-order-task.js';
import {type RegisteredTarget} from '../../src/services/forwarding/targets/target-registry.js';

/** Counts the reads of the state, none of which is answered. */
class SilentPort extends TargetOrderPort {
	reads = 0;

	sendOrder(): ResultAsync<OrderOutcome, NoResponseError> {
		return errAsync(new NoResponseError('silent'));
	}

	fetchState(): ResultAsync<TargetOrderState, NoResponseError> {
		this.reads++;
		return errAsync(new NoResponseError('silent'));
	}
}

async function readsIn(
	milliseconds: number,
	requestsPerSecond: number | undefined,
): Promise<number> {
	const clock = new ManualClock();
	const port = new SilentPort();
	const task = new TargetOrderTask({
		target: {
			listed: {
				id: 't' as TargetId,
				residency: {incarnation: 't@1' as TargetIncarnation, models: []},
			},
		} as unknown as RegisteredTarget,
		host: 'h' as HostId,
		port,
		clock,
		events: new NullEventLogger(),
		token: () => undefined,
		onSuperseded: () => undefined,
		onChanged: () => undefined,
		retirementMilliseconds: () => 100,
		requestsPerSecond: () => requestsPerSecond,
		isHeldBack: () => false,
		onOrderSent: () => undefined,
	});
	for (let elapsed = 0; elapsed < milliseconds; elapsed += 20) {
		clock.advance(20);
		task.refresh();
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}

	return port.reads;
}

// Guards against reads of the state that use up the rate of requests that a target names while a load runs there.
test('the reads of the state of a target take a quarter of the rate that it names at most', async () => {
	assert.ok((await readsIn(4000, undefined)) >= 40);
	for (const requestsPerSecond of [0.25, 1, 3.4, 8]) {
		const reads = await readsIn(16_000, requestsPerSecond);
		assert.ok(
			reads >= 4 && reads <= Math.max(5, requestsPerSecond * 4 + 1),
			`${reads} reads at ${requestsPerSecond} a second`,
		);
	}
});
