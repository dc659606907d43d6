import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {type TargetId} from '../../src/contracts/ids.js';
import {
	HoldBacks,
	maximumHoldMilliseconds,
} from '../../src/core/routing/hold-backs.js';
import {parseHoldBack} from '../../src/platform/request-codec.js';
import {
	responseHead,
	respondWith,
	StandInWorker,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

let harness: ForwardingHarness;
let workers: StandInWorker[];

beforeEach(async () => {
	harness = new ForwardingHarness();
	workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
	await harness.start(forwardingDocument);
	for (const worker of workers) {
		worker.behaviour = respondWith('served');
		harness.list(worker.id, await worker.start());
	}
});

afterEach(async () => {
	await harness.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

function turnAway(retryAfter: string): WorkerBehaviour {
	return ({headers, socket}) => {
		socket.write(
			responseHead('503 Service Unavailable', {
				'Request-Id': headers.get('request-id') ?? '',
				'Not-Run': '1',
				'Retry-After': retryAfter,
				'Content-Length': '0',
			}),
		);
	};
}

async function callUntilReached(worker: StandInWorker): Promise<void> {
	const before = worker.requests.length;
	while (worker.requests.length === before) {
		await harness.call('/idempotent/x');
	}
}

// Guards against requests to a target that has turned this host away, and against a target that is never used again.
test('a target that turned this host away gets nothing for the time that it named, and work again after it', async () => {
	const [turning] = workers;
	turning!.behaviour = turnAway('0.8');
	await callUntilReached(turning!);
	const sent = turning!.requests.length;
	turning!.behaviour = respondWith('served');
	const startedAt = performance.now();
	while (performance.now() - startedAt < 700) {
		const {status} = await harness.call('/idempotent/x');
		assert.equal(status, 200);
	}

	assert.equal(turning!.requests.length, sent);
	await delay(200);
	await callUntilReached(turning!);
});

// Guards against an answer of a request that was on its way: it does not end the time that the target named.
test('a success does not end the time for which a target wants nothing', async () => {
	const [turning] = workers;
	turning!.behaviour = ({headers, socket}) => {
		setTimeout(() => {
			respondWith('late')({headers, socket} as never);
		}, 150);
	};

	const slow = callUntilReached(turning!);
	await delay(20);
	turning!.behaviour = turnAway('1.5');
	await callUntilReached(turning!);
	await slow;
	await delay(200);
	const sent = turning!.requests.length;
	for (let call = 0; call < 20; call++) {
		await harness.call('/idempotent/x');
	}

	assert.equal(turning!.requests.length, sent);
});

// Guards against callers that wait although no target takes their requests before they give up.
test('requests are refused at once while all targets want nothing for longer than callers wait', async () => {
	for (const worker of workers) {
		worker.behaviour = turnAway('20');
	}

	await Promise.all([
		callUntilReached(workers[0]!),
		callUntilReached(workers[1]!),
	]);
	const startedAt = performance.now();
	const result = await harness.call('/idempotent/x');
	assert.equal(result.status, 503);
	const retryAfter = Number(result.headers['retry-after']);
	assert.ok(retryAfter > 15 && retryAfter <= 20, String(retryAfter));
	assert.ok(performance.now() - startedAt < 300);
});

test('requests wait for a target that wants nothing for a short time', async () => {
	for (const worker of workers) {
		worker.behaviour = turnAway('0.4');
	}

	await Promise.all([
		callUntilReached(workers[0]!),
		callUntilReached(workers[1]!),
	]);
	for (const worker of workers) {
		worker.behaviour = respondWith('served');
	}

	assert.equal((await harness.call('/idempotent/x')).status, 200);
});

test('the time is read from a 503 only, the longest of several counts, and other forms are ignored', () => {
	const time = (milliseconds: number) => ({kind: 'time', milliseconds});
	const cases: ReadonlyArray<
		readonly [number, string | string[] | undefined, unknown]
	> = [
		[503, '2', time(2000)],
		[503, '0.25', time(250)],
		[503, '0', time(0)],
		[503, ['1', '3'], time(3000)],
		[503, '1, 3', time(3000)],
		[503, ['soon', '3'], time(3000)],
		[503, '999999999', time(999_999_999_000)],
		[503, undefined, undefined],
		[429, '2', undefined],
		[200, '2', undefined],
	];
	for (const [status, value, expected] of cases) {
		assert.deepEqual(parseHoldBack(status, value), expected, String(value));
	}

	for (const value of ['-1', 'NaN', 'soon', '', '1e3', '9999999999', 'Fri 5']) {
		assert.equal(parseHoldBack(503, value)?.kind, 'invalid', value);
	}
});

test('a target is held back exactly for the longest time that its answers named, over any sequence of answers', () => {
	const event = fc.record({
		target: fc.constantFrom('a', 'b'),
		elapsed: fc.nat({max: 5000}),
		milliseconds: fc.option(fc.nat({max: 200_000})),
	});
	fc.assert(
		fc.property(fc.array(event, {maxLength: 60}), (events) => {
			const clock = new ManualClock();
			const holds = new HoldBacks(clock);
			const until = new Map<string, number>();
			let now = 0;
			for (const {target, elapsed, milliseconds} of events) {
				clock.advance(elapsed);
				now += elapsed;
				if (milliseconds !== null) {
					const end = now + Math.min(milliseconds, maximumHoldMilliseconds);
					until.set(target, Math.max(end, until.get(target) ?? end));
					holds.hold(target as TargetId, milliseconds);
				}

				for (const id of ['a', 'b']) {
					const remaining = Math.max(0, (until.get(id) ?? 0) - now);
					assert.equal(holds.remainingMilliseconds(id as TargetId), remaining);
					assert.equal(holds.isHeld(id as TargetId), remaining > 0);
				}
			}
		}),
	);
});
