import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
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
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {StartLimiter} from '../../src/core/admission/start-limiter.js';
import {
	CandidateDirectory,
	DispatchPort,
	type Attempt,
	type Binding,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../src/services/dispatch/dispatcher.js';

const targets = Array.from({length: 40}, (_, index) => `t${index}` as TargetId);
const urgencies = ['urgent', 'standard', 'deferred'] as const;

/** Records all decisions in their order. */
class DecisionPort extends DispatchPort {
	readonly open: Attempt[] = [];
	readonly decisions: string[] = [];

	dispatch({request, attempt, target, kind}: Binding): void {
		this.decisions.push(`${request}#${attempt} ${kind} ${target}`);
		this.open.push({request, attempt, target});
	}

	refuse({item, code, retryAfterMilliseconds}: WorkRefusal): void {
		this.decisions.push(`${item.request} ${code} ${retryAfterMilliseconds}`);
	}

	fail({request}: {readonly request: RequestId}): void {
		this.decisions.push(`${request} failed`);
	}

	demote({request}: Attempt): void {
		this.decisions.push(`${request} demoted`);
	}

	cancel({request, attempt}: Attempt): void {
		this.decisions.push(`${request}#${attempt} cancelled`);
	}
}

/** Plays a seeded sequence of messages and returns the decisions. Hosts that limit starts had one caller for all requests before customers were callers. */
function play(seed: number, hasStartLimiter: boolean): string[] {
	const clock = new ManualClock();
	const random = new SeededRandomSource(seed);
	const port = new DecisionPort();
	const dispatcher = new Dispatcher({
		clock,
		random: new SeededRandomSource(seed + 1),
		host: 'h' as HostId,
		port,
		directory: new (class extends CandidateDirectory {
			targetsFor(): readonly TargetId[] {
				return targets;
			}
		})(),
		logger: new NullEventLogger(),
		...(hasStartLimiter ? {startLimiter: new StartLimiter({clock})} : {}),
	});
	dispatcher.handle({kind: 'host-count-changed', count: 4});
	for (const target of targets) {
		dispatcher.handle({kind: 'target-set', target, slots: 2});
	}

	for (let step = 0; step < 4000; step++) {
		clock.advance(random.next() * 6);
		const draw = random.next();
		const open = port.open[random.integer(Math.max(1, port.open.length))];
		if (draw < 0.4) {
			const item = {
				request: `r${step}` as RequestId,
				caller: `c${random.integer(hasStartLimiter ? 1 : 5)}` as CallerId,
				urgency: urgencies[random.integer(3)]!,
				offering: 'o' as OfferingName,
				model: `m${random.integer(4)}` as ModelId,
				promptCharacters: random.integer(2000),
				maximumTokens: 100,
				prefixes: [`p${random.integer(30)}`],
				remainingMilliseconds: 4000,
				startObjectiveMilliseconds: 300,
				startTimeoutMilliseconds: 1500,
				idempotent: random.next() < 0.8,
				fingerprint: 'f' as Fingerprint,
				suspect: false,
				// Fields for the scheduling by work.
				hintedTokens: random.integer(1000),
				producedEvents: random.integer(3),
			};
			dispatcher.handle({kind: 'submitted', item});
		} else if (draw < 0.5) {
			const report = {
				kind: 'target-reported' as const,
				report: {
					target: targets[random.integer(targets.length)]!,
					incarnation: 'i' as TargetIncarnation,
					sequence: step,
					leaving: false,
					running: random.integer(3),
					queued: random.integer(2),
					slots: 2,
				},
				ageMilliseconds: random.next() * 500,
				slowdown: 1 + random.next(),
				adapters: [],
			};
			dispatcher.handle(report);
		} else if (draw < 0.55) {
			dispatcher.handle({kind: 'ticked'});
		} else if (open && draw < 0.75) {
			dispatcher.handle({kind: 'progressed', tokens: step, ...open});
		} else if (open) {
			port.open.splice(port.open.indexOf(open), 1);
			dispatcher.handle(
				draw < 0.95
					? {kind: 'completed', tokens: random.integer(100), ...open}
					: {kind: 'refused', reason: 'busy', ...open},
			);
		}
	}

	return port.decisions;
}

// Guards against the scheduling by work changing decisions in pools that do not use it. The digests are those of the
// decisions before it was added (commit bcb3f18).
test('a pool that is not scheduled by work takes the same decisions as before', () => {
	const digests = [false, true].map((hasStartLimiter) => {
		const decisions = [1, 2, 3].flatMap((seed) => play(seed, hasStartLimiter));
		assert.ok(decisions.length > 3000);
		return createHash('sha256').update(decisions.join('\n')).digest('hex');
	});
	assert.deepEqual(digests, [
		'828f51ea9079de5d80c4e10443c15e93fe5275b4801f97e128f4f272853399d5',
		'20dac548eff205064985c97ea29b29e11d4c0a46d754825b9f16e03512006948',
	]);
});
