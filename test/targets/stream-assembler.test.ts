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

/** A disturbance of a stream, applied at a position that is taken modulo its length. */
const disturbance = fc.record({
	kind: fc.constantFrom(
		'lose',
		'duplicate',
		'swap',
		'foreign-token',
		'foreign-end',
		'truncate',
		'wrong-count',
		'cancel',
		'corrupt',
	),
	position: fc.nat(200),
});

type Disturbance = {readonly kind: string; readonly position: number};

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

function disturb(
	events: GenerationEvent[],
	{kind, position}: Disturbance,
): void {
	const at = position % (events.length + 1);
	const event = events[at];
	switch (kind) {
		case 'lose': {
			events.splice(at, 1);
			break;
		}

		case 'duplicate': {
			events.splice(at, 0, ...events.slice(position % 3, at));
			break;
		}

		case 'swap': {
			events.splice(at, 2, ...events.slice(at, at + 2).reverse());
			break;
		}

		case 'foreign-token': {
			events.splice(at, 0, token(at, 'FOREIGN', foreign));
			break;
		}

		case 'foreign-end': {
			events.splice(at, 0, end(at, 'stop', foreign));
			break;
		}

		case 'truncate': {
			events.length = Math.min(events.length, at);
			break;
		}

		case 'cancel': {
			events.splice(at, 0, end(at, 'cancelled'));
			break;
		}

		case 'wrong-count': {
			events.splice(at, 0, end(position));
			break;
		}

		default: {
			// A token that was sent before comes again with another text.
			const earlier = events.slice(0, at).find(({kind}) => kind === 'token');
			if (event && earlier?.kind === 'token' && earlier.requestId === own) {
				events.splice(at, 0, token(earlier.sequence, 'CORRUPT'));
			}
		}
	}
}

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
		const isCorrupt = ({kind}: Disturbance) => kind === 'corrupt';
		for (const item of disturbances.filter((other) => !isCorrupt(other))) {
			disturb(events, item);
		}

		for (const item of disturbances.filter(isCorrupt)) {
			disturb(events, item);
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
							kind !== 'wrong-count' || position >= answer.length,
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
	assert.equal(recovery.interrupted('gap').kind, 'resume');
	recovery.progressed();
	const steps: Array<[StreamInterruption, boolean]> = [
		['between-tokens-timeout', true],
		['closed', false],
	];
	for (const [interruption, overNewConnections] of steps) {
		assert.deepEqual(recovery.interrupted(interruption), {kind: 'probe'});
		assert.deepEqual(recovery.probed(true), {
			kind: 'resume',
			overNewConnections,
		});
	}

	assert.deepEqual(recovery.interrupted('garbled'), {
		kind: 'give-up',
		reason: 'no-progress',
	});
	assert.deepEqual(recovery.probed(false), {
		kind: 'give-up',
		reason: 'unreachable',
	});
});
