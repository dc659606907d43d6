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
	Dispatcher,
	DispatchPort,
	CandidateDirectory,
	type WorkItem,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatcher.js';

const target = 't' as TargetId;

class Port extends DispatchPort {
	readonly sent: string[] = [];
	readonly refusals: WorkRefusal[] = [];

	dispatch({request}: {readonly request: RequestId}): void {
		this.sent.push(request);
	}

	refuse(refusal: WorkRefusal): void {
		this.refusals.push(refusal);
	}

	fail(): void {
		assert.fail('nothing ran');
	}

	demote(): void {
		// Not of interest here.
	}

	cancel(): void {
		// Not of interest here.
	}
}

class OneTarget extends CandidateDirectory {
	targetsFor(): readonly TargetId[] {
		return [target];
	}
}

function item(id: number): WorkItem {
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

// Guards against a burst onto one busy model whose requests are all held until their callers give up.
test('a burst is refused at once where its wait would outlast the callers', () => {
	const clock = new ManualClock();
	const port = new Port();
	const dispatcher = new Dispatcher({
		clock,
		random: new SeededRandomSource(1),
		host: 'h' as HostId,
		port,
		directory: new OneTarget(),
		logger: new NullEventLogger(),
		hedging: false,
	});
	dispatcher.handle({kind: 'target-set', target, slots: 4});
	for (let id = 0; id < 200; id++) {
		dispatcher.handle({kind: 'submitted', item: item(id)});
	}

	assert.ok(port.sent.length > 0);
	assert.ok(port.refusals.length > 100, String(port.refusals.length));
	assert.ok(
		port.refusals.every(
			({code, retryAfterMilliseconds}) =>
				code === 'overload' && retryAfterMilliseconds > 0,
		),
	);
	// What was admitted and cannot start in time is refused before its caller leaves.
	clock.advance(1400);
	dispatcher.handle({kind: 'ticked'});
	assert.equal(dispatcher.queueLength, 0);
});

// Guards against bytes between failure domains that no load asks for.
test('a near target is preferred until it is busier', () => {
	const near = 'near' as TargetId;
	const far = 'far' as TargetId;
	const sent: TargetId[] = [];
	class Recorder extends Port {
		override dispatch(binding: {
			readonly request: RequestId;
			readonly target: TargetId;
		}): void {
			sent.push(binding.target);
		}
	}

	class Both extends CandidateDirectory {
		targetsFor(): readonly TargetId[] {
			return [far, near];
		}
	}

	const dispatcher = new Dispatcher({
		clock: new ManualClock(),
		random: new SeededRandomSource(1),
		host: 'h' as HostId,
		port: new Recorder(),
		directory: new Both(),
		logger: new NullEventLogger(),
		hedging: false,
		speedFactor: (each) => (each === near ? 1 : 0.5),
	});
	for (const each of [near, far]) {
		dispatcher.handle({kind: 'target-set', target: each, slots: 20});
	}

	for (let id = 0; id < 12; id++) {
		dispatcher.handle({kind: 'submitted', item: item(id)});
	}

	const count = (target: TargetId) =>
		sent.filter((each) => each === target).length;
	assert.equal(sent[0], near);
	assert.equal(count(near), 8);
	assert.equal(count(far), 4);
});
