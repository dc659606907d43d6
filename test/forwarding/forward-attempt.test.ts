import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Dispatcher} from 'undici';
import {type RequestId, type TargetId} from '../../src/contracts/ids.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {
	AttemptListener,
	ForwardAttempt,
	type AttemptFailure,
} from '../../src/services/forwarding/forward-attempt.js';

class RecordingListener extends AttemptListener {
	readonly failures: AttemptFailure[] = [];

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

	onResponse(): void {
		assert.fail('no response is expected');
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
});
