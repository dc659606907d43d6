import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type GenerationEvent} from '../../src/contracts/engine.js';
import {type RequestId} from '../../src/contracts/ids.js';
import {
	StreamAssembler,
	StreamRecovery,
	type StreamInterruption,
} from '../../src/core/streams/stream-assembler.js';

const own = 'own' as RequestId;
const foreign = 'foreign' as RequestId;

type Fault = {readonly kind: string; readonly position: number};
type InjectFault = (
	events: GenerationEvent[],
	at: number,
	position: number,
) => unknown;

function token(sequence: number, text: string, requestId = own) {
	return {kind: 'token', requestId, sequence, text} as const;
}

function end(
	tokens: number,
	reason: 'stop' | 'cancelled' = 'stop',
	requestId = own,
) {
	return {kind: 'end', requestId, tokens, reason} as const;
}

function expectedStream(
	response: readonly string[],
	from: number,
): GenerationEvent[] {
	const tokens = response
		.slice(from)
		.map((text, index) => token(from + index, text));
	return [...tokens, end(response.length)];
}

const faultInjectors: Record<string, InjectFault> = {
	lose: (events, at) => events.splice(at, 1),
	duplicate: (events, at, position) =>
		events.splice(at, 0, ...events.slice(position % 3, at)),
	swap: (events, at) =>
		events.splice(at, 2, ...events.slice(at, at + 2).reverse()),
	foreignToken: (events, at) =>
		events.splice(at, 0, token(at, 'FOREIGN', foreign)),
	foreignEnd: (events, at) => events.splice(at, 0, end(at, 'stop', foreign)),
	truncate: (events, at) => events.splice(at),
	wrongCount: (events, at, position) => events.splice(at, 0, end(position)),
	cancel: (events, at) => events.splice(at, 0, end(at, 'cancelled')),
	/** Repeats an earlier token with another text. */
	corrupt(events, at) {
		const earlier = events.slice(0, at).find(({kind}) => kind === 'token');
		if (earlier?.kind === 'token' && earlier.requestId === own) {
			events.splice(at, 0, token(earlier.sequence, 'CORRUPT'));
		}
	},
};

/** A fault injected into a stream, at a position that is taken modulo the length of the stream. */
const fault = fc.record({
	kind: fc.constantFrom(...Object.keys(faultInjectors)),
	position: fc.nat(200),
});

/** Runs attempts like a generation session and returns the response, or undefined for an error. */
function runAttempts(
	response: readonly string[],
	attempts: readonly Fault[][],
	continuation: number,
): readonly string[] | undefined {
	const assembler = new StreamAssembler(own, response.slice(0, continuation));
	for (const faults of attempts) {
		const events = expectedStream(response, assembler.nextSequence);
		// A corrupt token is injected after the genuine one. Before it, nothing in the protocol would distinguish
		// the two.
		const ordered = [...faults].sort(
			(left, right) =>
				Number(left.kind === 'corrupt') - Number(right.kind === 'corrupt'),
		);
		for (const {kind, position} of ordered) {
			faultInjectors[kind]!(events, position % (events.length + 1), position);
		}

		for (const event of events) {
			const step = assembler.accept(event);
			assert.deepEqual(
				assembler.tokens,
				response.slice(0, assembler.nextSequence),
				'the tokens are always a prefix of the response',
			);
			if (step.kind === 'completed') {
				return assembler.tokens;
			}

			if (step.kind === 'failed') {
				return undefined;
			}

			if (step.kind === 'gap') {
				break;
			}
		}
	}

	return undefined;
}

// Guards against combinations of lost, repeated and foreign events that produce another response.
test('assembler: the output is the exact response or an error', () => {
	let complete = 0;
	let failed = 0;
	fc.assert(
		fc.property(
			fc.array(fc.string({minLength: 1, maxLength: 3}), {maxLength: 24}),
			fc.array(fc.array(fault, {maxLength: 5}), {
				minLength: 1,
				maxLength: 6,
			}),
			fc.nat(30),
			(response, attempts, continuation) => {
				// A false end marker that matches the tokens so far cannot be distinguished from a genuine one.
				const detectableFaults = attempts.map((items) =>
					items.filter(
						({kind, position}) =>
							kind !== 'wrongCount' || position >= response.length,
					),
				);
				const result = runAttempts(
					response,
					detectableFaults,
					Math.min(continuation, response.length),
				);
				if (result) {
					complete++;
					assert.deepEqual(result, response);
				} else {
					failed++;
				}

				// Without faults the response must be complete.
				assert.deepEqual(runAttempts(response, [[]], 0), response);
			},
		),
		{seed: 20_240, numRuns: 3000},
	);
	assert.ok(complete > 500 && failed > 500, `${complete} ${failed}`);
});

// Guards against endless resumes, and against dropping all connections when one was just closed.
test('recovery: attempts are bounded and reset by progress', () => {
	const recovery = new StreamRecovery(2);
	assert.equal(recovery.handleInterruption('gap').kind, 'resume');
	recovery.recordProgress();
	const steps: Array<[StreamInterruption, boolean]> = [
		['between-tokens-timeout', true],
		['closed', false],
	];
	for (const [interruption, overNewConnections] of steps) {
		assert.deepEqual(recovery.handleInterruption(interruption), {
			kind: 'probe',
		});
		assert.deepEqual(recovery.handleProbeResult(true), {
			kind: 'resume',
			overNewConnections,
		});
	}

	assert.deepEqual(recovery.handleInterruption('garbled'), {
		kind: 'give-up',
		reason: 'no-progress',
	});
	assert.deepEqual(recovery.handleProbeResult(false), {
		kind: 'give-up',
		reason: 'unreachable',
	});
});
