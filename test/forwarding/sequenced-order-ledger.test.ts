import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	type AdapterId,
	type ModelId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {type TargetOrderState} from '../../src/contracts/target-orders.js';
import {
	SequencedOrderLedger,
	type OrderSubject,
} from '../../src/core/sequenced-order-ledger.js';

const incarnation = 'w@1' as TargetIncarnation;
const models = ['a', 'b', 'c', 'd'] as ModelId[];

function state(
	orderSequence: number,
	resident: readonly ModelId[],
	isBusy = false,
): TargetOrderState {
	return {
		incarnation,
		orderSequence,
		isBusy,
		models: resident.map((model) => ({model, adapters: []})),
		loadingAdapters: [],
	};
}

function load(model: ModelId): OrderSubject {
	return {action: 'load', model, adapter: undefined};
}

function makeLedger(): SequencedOrderLedger {
	return new SequencedOrderLedger({stateLagMilliseconds: 150});
}

// Guards against memory that a lost order may still take being given away.
test('an unanswered load stays charged until the sequence has passed it', () => {
	const ledger = makeLedger();
	ledger.observe(state(3, []), 0);
	assert.equal(ledger.beginOrder(load(models[0]!)), 3);
	ledger.onResponseMissing();
	assert.deepEqual([...ledger.chargedModels()], ['a']);
	ledger.observe(state(3, []), 1000);
	assert.deepEqual([...ledger.chargedModels()], ['a'], 'it may still come');
	ledger.observe(state(4, [models[1]!]), 2000);
	assert.deepEqual([...ledger.chargedModels()], ['b'], 'it is void');
});

// Guards against a report from before an order that hides the order's effect.
test('a report that may be older than the last order is not taken in', () => {
	const ledger = makeLedger();
	ledger.observe(state(0, []), 0);
	ledger.beginOrder(load(models[0]!));
	ledger.onOrderAccepted(1000);
	assert.equal(ledger.observe(state(0, []), 1100), false);
	assert.equal(ledger.observe(state(1, []), 1100), false);
	assert.deepEqual([...ledger.chargedModels()], ['a']);
	assert.equal(ledger.observe(state(1, [models[0]!]), 1200), true);
	assert.equal(ledger.isReady, true);
});

// Guards against orders that count with the numbers of the target's former life.
test('a restarted target starts anew', () => {
	const ledger = makeLedger();
	ledger.observe(state(9, [models[0]!]), 0);
	ledger.observe(
		{...state(0, []), incarnation: 'w@2' as TargetIncarnation},
		10,
	);
	assert.deepEqual([...ledger.chargedModels()], []);
	assert.equal(ledger.beginOrder(load(models[1]!)), 0);
});

// Guards against an adapter that was unloaded at once being counted as held.
test('an adapter that is unloaded at once frees its place', () => {
	const ledger = makeLedger();
	const adapter = 'a1' as AdapterId;
	ledger.observe(
		{...state(5, []), models: [{model: models[0]!, adapters: [adapter]}]},
		0,
	);
	ledger.beginOrder({action: 'unload', model: models[0]!, adapter});
	ledger.onOrderAlreadyDone(10);
	assert.deepEqual(ledger.chargedAdapters(), []);
	assert.equal(ledger.beginOrder(load(models[1]!)), 6);
});

/** A target with two places that fails when it is told to hold more, and carries out late orders that still match. */
class Target {
	sequence = 0;
	readonly held = new Set<ModelId>();
	private readonly late: Array<OrderSubject & {expected: number}> = [];

	order(subject: OrderSubject, expected: number): 'accepted' | 'conflict' {
		if (expected !== this.sequence) {
			return 'conflict';
		}

		this.sequence++;
		if (subject.action === 'load') {
			this.held.add(subject.model);
		} else {
			this.held.delete(subject.model);
		}

		assert.ok(this.held.size <= 2, 'more models than memory');
		return 'accepted';
	}

	delay(subject: OrderSubject, expected: number): void {
		this.late.push({...subject, expected});
	}

	carryOutLate(): void {
		const [order] = this.late.splice(0, 1);
		if (order) {
			this.order(order, order.expected);
		}
	}
}

// Guards against memory that is overcommitted by any order of lost, late and answered orders.
test('no order of arrival overcommits the memory', () => {
	const action = fc.record({
		kind: fc.constantFrom('load', 'unload', 'report', 'late'),
		model: fc.constantFrom(...models),
		answer: fc.constantFrom('answered', 'lost', 'delayed'),
	});
	fc.assert(
		fc.property(fc.array(action, {maxLength: 60}), (actions) => {
			const ledger = makeLedger();
			const target = new Target();
			let now = 0;
			ledger.observe(state(0, []), now);
			for (const {kind, model, answer} of actions) {
				now += 200;
				if (kind === 'late') {
					target.carryOutLate();
				} else if (kind === 'report') {
					ledger.observe(state(target.sequence, [...target.held]), now);
				} else {
					giveOrder({ledger, target, kind, model, answer, now});
				}
			}
		}),
		{seed: 3, numRuns: 1000},
	);
});

function giveOrder(options: {
	readonly ledger: SequencedOrderLedger;
	readonly target: Target;
	readonly kind: string;
	readonly model: ModelId;
	readonly answer: string;
	readonly now: number;
}): void {
	const {ledger, target, kind, model, answer, now} = options;
	const charged = ledger.chargedModels();
	const isLoad = kind === 'load';
	if (
		!ledger.isReady ||
		(isLoad && !charged.has(model) && charged.size >= 2) ||
		charged.has(model) === isLoad
	) {
		return;
	}

	const subject: OrderSubject = {
		action: isLoad ? 'load' : 'unload',
		model,
		adapter: undefined,
	};
	const expected = ledger.beginOrder(subject);
	if (answer === 'delayed') {
		target.delay(subject, expected);
		ledger.onResponseMissing();
		return;
	}

	const outcome = target.order(subject, expected);
	if (answer === 'lost') {
		ledger.onResponseMissing();
	} else if (outcome === 'accepted') {
		ledger.onOrderAccepted(now);
	} else {
		ledger.onOrderRefused();
	}
}
