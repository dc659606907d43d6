import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type GenerationEvent} from '../../src/contracts/engine.js';
import {type RequestId} from '../../src/contracts/ids.js';
import {
	StreamAssembler,
	StreamRecovery,
	type StreamInterruption,
} from '../../src/core/stream-assembler.js';

const own = 'own' as RequestId;
const foreign = 'foreign' as RequestId;

type Disturbance = {readonly kind: string; readonly position: number};
type Disturb = (
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

function trueStream(
	answer: readonly string[],
	from: number,
): GenerationEvent[] {
	const tokens = answer
		.slice(from)
		.map((text, index) => token(from + index, text));
	return [...tokens, end(answer.length)];
}

const disturb: Record<string, Disturb> = {
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
	/** Sends a token that was sent before again with another text. */
	corrupt(events, at) {
		const earlier = events.slice(0, at).find(({kind}) => kind === 'token');
		if (earlier?.kind === 'token' && earlier.requestId === own) {
			events.splice(at, 0, token(earlier.sequence, 'CORRUPT'));
		}
	},
};

/** A disturbance of a stream, applied at a position that is taken modulo its length. */
const disturbance = fc.record({
	kind: fc.constantFrom(...Object.keys(disturb)),
	position: fc.nat(200),
});

/** Runs attempts as a session does, and returns the answer or undefined for an error. */
function run(
	answer: readonly string[],
	attempts: readonly Disturbance[][],
	continuation: number,
): readonly string[] | undefined {
	const assembler = new StreamAssembler(own, answer.slice(0, continuation));
	for (const disturbances of attempts) {
		const events = trueStream(answer, assembler.nextSequence);
		// A corrupt repeat comes after the true token. Without the true token before it nothing in
		// the protocol tells the two apart.
		const ordered = [...disturbances].sort(
			(left, right) =>
				Number(left.kind === 'corrupt') - Number(right.kind === 'corrupt'),
		);
		for (const {kind, position} of ordered) {
			disturb[kind]!(events, position % (events.length + 1), position);
		}

		for (const event of events) {
			const step = assembler.accept(event);
			assert.deepEqual(
				assembler.tokens,
				answer.slice(0, assembler.nextSequence),
				'tokens are always the start of the answer',
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

// Guards against any order of losses, repeats and foreign events that gives another answer.
test('assembler: the output is the exact answer or an error', () => {
	let complete = 0;
	let failed = 0;
	fc.assert(
		fc.property(
			fc.array(fc.string({minLength: 1, maxLength: 3}), {maxLength: 24}),
			fc.array(fc.array(disturbance, {maxLength: 5}), {
				minLength: 1,
				maxLength: 6,
			}),
			fc.nat(30),
			(answer, attempts, continuation) => {
				// A false end marker that fits the tokens so far cannot be told from a true one.
				const plausible = attempts.map((items) =>
					items.filter(
						({kind, position}) =>
							kind !== 'wrongCount' || position >= answer.length,
					),
				);
				const result = run(
					answer,
					plausible,
					Math.min(continuation, answer.length),
				);
				if (result) {
					complete++;
					assert.deepEqual(result, answer);
				} else {
					failed++;
				}

				// Without disturbances the answer has to come.
				assert.deepEqual(run(answer, [[]], 0), answer);
			},
		),
		{seed: 20_240, numRuns: 3000},
	);
	assert.ok(complete > 500 && failed > 500, `${complete} ${failed}`);
});

// Guards against endless resumes and against a dropped pool where the connection just closed.
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
