import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {LeavingTargets} from '../../src/core/routing/leaving-targets.js';
import {
	completeResponse,
	responseHead,
	respondWith,
	StandInWorker,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

let harness: ForwardingHarness;
let workers: StandInWorker[];
const addresses: string[] = [];

beforeEach(async () => {
	harness = new ForwardingHarness();
	workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
	await harness.start(forwardingDocument);
	for (const [index, worker] of workers.entries()) {
		addresses[index] = await worker.start();
		worker.behaviour = respondWith('served');
		harness.list(worker.id, addresses[index]);
	}
});

afterEach(async () => {
	await harness.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

/** Answers with the header by which a target says that it leaves. */
function leavingAnswer(status: string, headers = {}): WorkerBehaviour {
	return ({headers: received, socket}) => {
		socket.write(
			responseHead(status, {
				'Request-Id': received.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Server-Leaving': '1',
				'Content-Length': '0',
				...headers,
			}),
		);
	};
}

async function callUntilReached(worker: StandInWorker): Promise<void> {
	while (worker.requests.length === 0) {
		await harness.call('/idempotent/x');
	}
}

// Guards against new work for a target that says in its answers that it leaves, while the list still names it as ready.
async function assertLeavesWith(
	status: string,
	headers: Readonly<Record<string, string>>,
): Promise<void> {
	const [leaving] = workers;
	leaving!.behaviour = leavingAnswer(status, headers);
	await callUntilReached(leaving!);
	harness.list('i-1', addresses[0]!);
	const before = leaving!.requests.length;
	for (let call = 0; call < 10; call++) {
		const result = await harness.call('/idempotent/x');
		assert.equal(result.status, 200);
		assert.equal(result.headers['server-leaving'], undefined);
	}

	assert.equal(leaving!.requests.length, before);
	harness.list('i-1', addresses[0]!, {
		residency: {incarnation: 'i-1@2' as TargetIncarnation, models: []},
	});
	leaving!.behaviour = respondWith('served');
	for (let call = 0; call < 20; call++) {
		await harness.call('/idempotent/x');
	}

	assert.ok(leaving!.requests.length > before, 'the next one is used');
}

test('a target that says in a success that it leaves gets no new work, whatever the list says', async () => {
	await assertLeavesWith('200 OK', {});
});

test('a target that says in a refusal that it leaves gets no new work, whatever the list says', async () => {
	await assertLeavesWith('503 Service Unavailable', {'Not-Run': '1'});
});

test('a target that says in a failure that it leaves gets no new work, whatever the list says', async () => {
	await assertLeavesWith('500 Internal Server Error', {});
});

// Guards against callers that wait until they give up although no target will take their requests.
test('while all targets leave, requests are refused at once as not run', async () => {
	for (const worker of workers) {
		worker.behaviour = leavingAnswer('200 OK');
	}

	await callUntilReached(workers[0]!);
	await callUntilReached(workers[1]!);
	const startedAt = performance.now();
	const result = await harness.call('/idempotent/x');
	assert.equal(result.status, 503);
	assert.ok(Number(result.headers['retry-after']) > 0);
	assert.ok(performance.now() - startedAt < 500);
});

test('another value of the header says nothing', async () => {
	for (const value of ['0', '', 'true', '11']) {
		workers[0]!.behaviour = ({headers, socket}) => {
			const id = headers.get('request-id')!;
			socket.write(
				completeResponse(id, 'x').replace(
					'\r\n',
					`\r\nServer-Leaving: ${value}\r\n`,
				),
			);
		};

		await callUntilReached(workers[0]!);
	}

	assert.equal(
		harness.registry.get('i-1' as TargetId)?.listed.isLeaving,
		false,
	);
});

test('an incarnation that said that it leaves does so until another one comes, over any sequence of events', () => {
	const event = fc.record({
		target: fc.constantFrom('a', 'b'),
		incarnation: fc.constantFrom('1', '2', '3'),
		elapsed: fc.nat({max: 3000}),
	});
	fc.assert(
		fc.property(fc.array(event, {maxLength: 60}), (events) => {
			const clock = new ManualClock();
			const leaving = new LeavingTargets(clock);
			const last = new Map<string, string>();
			for (const {target, incarnation, elapsed} of events) {
				clock.advance(elapsed);
				const isNew = leaving.record({
					target: target as TargetId,
					incarnation: incarnation as TargetIncarnation,
				});
				assert.equal(isNew, last.get(target) !== incarnation);
				last.set(target, incarnation);
				for (const [id, current] of last) {
					assert.ok(
						leaving.isLeaving(id as TargetId, current as TargetIncarnation),
					);
				}
			}
		}),
	);
});
