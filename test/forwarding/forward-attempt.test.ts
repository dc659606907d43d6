import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Dispatcher} from 'undici';
import {type RequestId, type TargetId} from '../../src/contracts/ids.js';
import {ByteBudget} from '../../src/core/limits/byte-budget.js';
import {type ResponseMetadata} from '../../src/contracts/request-codec.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {
	AttemptListener,
	ForwardAttempt,
	type AttemptFailure,
} from '../../src/services/forwarding/attempts/forward-attempt.js';

class RecordingListener extends AttemptListener {
	readonly failures: AttemptFailure[] = [];
	readonly bodies: Buffer[] = [];

	onStreamStart(): void {
		assert.fail('no stream is expected');
	}

	onStreamData(): boolean {
		return false;
	}

	waitForReceiver(): boolean {
		return false;
	}

	onStreamEnd(): void {
		assert.fail('no stream is expected');
	}

	onResponse(_response: ResponseMetadata, body: Buffer): void {
		this.bodies.push(body);
	}

	onStall(): number | undefined {
		assert.fail('no stall is expected');
	}

	onRecovery(): void {
		assert.fail('no stall is expected');
	}

	onFailure(failure: AttemptFailure): void {
		this.failures.push(failure);
	}
}

// Guards against work for callers that have left: the event loop was blocked, or the connection took long to open, and
// the timer of the deadline has not run yet when the request could be sent.
test('a request whose deadline has passed is not sent when its connection becomes free', () => {
	const listener = new RecordingListener();
	let isNeeded = true;
	const attempt = new ForwardAttempt({
		request: 'r' as RequestId,
		target: 't' as TargetId,
		codec: new PlatformRequestCodec(),
		listener,
		onResponseMetadata: () => undefined,
		isNeeded: () => isNeeded,
		maximumBodyBytes: 1000,
		isStream: false,
		connections: {isConnectionFailing: false},
	});
	isNeeded = false;
	const aborted: Error[] = [];
	attempt.onRequestStart({
		abort(reason: Error) {
			aborted.push(reason);
		},
	} as unknown as Dispatcher.DispatchController);
	assert.equal(aborted.length, 1);
	assert.equal(attempt.isSent, false);
	assert.deepEqual(
		listener.failures.map(({kind}) => kind),
		['expired'],
	);
	assert.equal(listener.bodies.length, 0);
});

function receiveBody(budget: ByteBudget, size: number): RecordingListener {
	const listener = new RecordingListener();
	const attempt = new ForwardAttempt({
		request: 'r' as RequestId,
		target: 't' as TargetId,
		codec: new PlatformRequestCodec(),
		listener,
		onResponseMetadata: () => undefined,
		isNeeded: () => true,
		maximumBodyBytes: 1_000_000,
		budget,
		isStream: false,
		connections: {isConnectionFailing: false},
	});
	const controller = {
		abort: () => undefined,
	} as unknown as Dispatcher.DispatchController;
	attempt.onRequestStart(controller);
	attempt.onResponseStart(controller, 200, {
		'request-id': 'r',
		'response-sig': 'signed',
		'content-length': String(size),
	});
	for (let sent = 0; sent < size; sent += 1000) {
		attempt.onResponseData(
			controller,
			Buffer.alloc(Math.min(1000, size - sent)),
		);
	}

	attempt.onResponseEnd();
	return listener;
}

// Guards against callers that do not read large answers and so cost all other callers theirs.
test('a small answer is whole while large ones take all memory for answers, and a large one is given up', () => {
	const budget = new ByteBudget(1000);
	budget.take(1000);
	const small = receiveBody(budget, 60_000);
	assert.equal(small.bodies[0]?.length, 60_000);
	assert.deepEqual(small.failures, []);
	const large = receiveBody(budget, 200_000);
	assert.deepEqual(
		large.failures.map(({kind}) => kind),
		['lost'],
	);
	assert.equal(budget.heldBytes, 1000);
});
