import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {
	DispatchPort,
	CandidateDirectory,
	type WorkItem,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../src/services/dispatch/dispatcher.js';

const target = 't' as TargetId;

class RecordingPort extends DispatchPort {
	readonly sent: string[] = [];
	readonly refusals: WorkRefusal[] = [];

	dispatch({request}: {readonly request: RequestId}): void {
		this.sent.push(request);
	}

	refuse(refusal: WorkRefusal): void {
		this.refusals.push(refusal);
	}

	fail(): void {
		assert.fail('unexpected failure: no attempt was executed');
	}

	demote(): void {
		// Not used by these tests.
	}

	cancel(): void {
		// Not used by these tests.
	}
}

class SingleTargetDirectory extends CandidateDirectory {
	targetsFor(): readonly TargetId[] {
		return [target];
	}
}

function createItem(id: number): WorkItem {
	return {
		request: `r${id}` as RequestId,
		caller: 'c' as CallerId,
		urgency: 'urgent',
		offering: 'route' as OfferingName,
		model: 'm' as ModelId,
		promptCharacters: 100,
		maximumTokens: 100,
		prefixes: [],
		remainingMilliseconds: 12_000,
		startObjectiveMilliseconds: 240,
		startTimeoutMilliseconds: 1300,
		idempotent: true,
		fingerprint: `f${id}` as Fingerprint,
		suspect: false,
	};
}

// Guards against a burst for one busy model whose requests are all queued until their callers time out.
test('requests of a burst that cannot start within the start timeout are refused immediately', () => {
	const clock = new ManualClock();
	const port = new RecordingPort();
	const dispatcher = new Dispatcher({
		clock,
		random: new SeededRandomSource(1),
		host: 'h' as HostId,
		port,
		directory: new SingleTargetDirectory(),
		logger: new NullEventLogger(),
		hedging: false,
	});
	dispatcher.handle({kind: 'target-set', target, slots: 4});
	for (let id = 0; id < 200; id++) {
		dispatcher.handle({kind: 'submitted', item: createItem(id)});
	}

	assert.ok(port.sent.length > 0);
	assert.ok(port.refusals.length > 100, String(port.refusals.length));
	assert.ok(
		port.refusals.every(
			({code, retryAfterMilliseconds}) =>
				code === 'overload' && retryAfterMilliseconds > 0,
		),
	);
	// Admitted requests that cannot start in time are refused before their callers time out.
	clock.advance(1400);
	dispatcher.handle({kind: 'ticked'});
	assert.equal(dispatcher.queueLength, 0);
});

// Guards against traffic between failure domains that the load does not require.
test('a target in the same failure domain is preferred until it is busier', () => {
	const local = 'local' as TargetId;
	const remote = 'remote' as TargetId;
	const sent: TargetId[] = [];
	class TargetRecordingPort extends RecordingPort {
		override dispatch(binding: {
			readonly request: RequestId;
			readonly target: TargetId;
		}): void {
			sent.push(binding.target);
		}
	}

	class TwoTargetDirectory extends CandidateDirectory {
		targetsFor(): readonly TargetId[] {
			return [remote, local];
		}
	}

	const dispatcher = new Dispatcher({
		clock: new ManualClock(),
		random: new SeededRandomSource(1),
		host: 'h' as HostId,
		port: new TargetRecordingPort(),
		directory: new TwoTargetDirectory(),
		logger: new NullEventLogger(),
		hedging: false,
		speedFactor: (each) => (each === local ? 1 : 0.5),
	});
	for (const each of [local, remote]) {
		dispatcher.handle({kind: 'target-set', target: each, slots: 20});
	}

	for (let id = 0; id < 12; id++) {
		dispatcher.handle({kind: 'submitted', item: createItem(id)});
	}

	const count = (target: TargetId) =>
		sent.filter((each) => each === target).length;
	assert.equal(sent[0], local);
	assert.equal(count(local), 8);
	assert.equal(count(remote), 4);
});
