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
} from '../../src/core/orders/sequenced-order-ledger.js';

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

function createLedger(): SequencedOrderLedger {
	return new SequencedOrderLedger({
		stateLagMilliseconds: 150,
		lateOrderMilliseconds: 15_000,
	});
}

// A lost order may still take effect, so its memory must not be used for another load.
test('a load without a response stays charged until the sequence number has passed it', () => {
	const ledger = createLedger();
	ledger.observe(state(3, []), 0);
	assert.equal(ledger.beginOrder(load(models[0]!)), 3);
	ledger.onResponseMissing(500);
	assert.deepEqual([...ledger.chargedModels()], ['a']);
	ledger.observe(state(3, []), 1000);
	assert.deepEqual(
		[...ledger.chargedModels()],
		['a'],
		'the order may still take effect',
	);
	ledger.observe(state(4, [models[1]!]), 2000);
	assert.deepEqual(
		[...ledger.chargedModels()],
		['b'],
		'the order can no longer take effect',
	);
});

// A state from before the last order would hide the effect of the order.
test('a state that may be older than the last accepted order is ignored', () => {
	const ledger = createLedger();
	ledger.observe(state(0, []), 0);
	ledger.beginOrder(load(models[0]!));
	ledger.onOrderAccepted(1000);
	assert.equal(ledger.observe(state(0, []), 1100), false);
	assert.equal(ledger.observe(state(1, []), 1100), false);
	assert.deepEqual([...ledger.chargedModels()], ['a']);
	assert.equal(ledger.observe(state(1, [models[0]!]), 1200), true);
	assert.equal(ledger.isReady, true);
});

// The target of a new incarnation counts accepted orders from zero.
test('a new incarnation of a target resets content and sequence number', () => {
	const ledger = createLedger();
	ledger.observe(state(9, [models[0]!]), 0);
	ledger.observe(
		{...state(0, []), incarnation: 'w@2' as TargetIncarnation},
		10,
	);
	assert.deepEqual([...ledger.chargedModels()], []);
	assert.equal(ledger.beginOrder(load(models[1]!)), 0);
});

// Guards against a target that is ordered to hold more than its memory: an order from before its restart can arrive late,
// and the sequence number that it expects comes again.
test('a load without a response from before a restart stays charged until the sequence number has passed it', () => {
	const ledger = createLedger();
	const restarted = (orderSequence: number) => ({
		...state(orderSequence, []),
		incarnation: 'w@2' as TargetIncarnation,
	});
	ledger.observe(state(1, []), 0);
	ledger.beginOrder(load(models[0]!));
	ledger.onResponseMissing(1000);
	ledger.observe(state(2, []), 2000);
	assert.deepEqual([...ledger.chargedModels()], []);
	ledger.observe(restarted(0), 3000);
	assert.deepEqual([...ledger.chargedModels()], ['a']);
	assert.ok(ledger.needsStateRead);
	ledger.observe(restarted(2), 4000);
	assert.deepEqual([...ledger.chargedModels()], []);
	assert.ok(!ledger.needsStateRead);
});

test('an adapter that is unloaded immediately no longer occupies its slot', () => {
	const ledger = createLedger();
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

// Guards against a target that is ordered to hold more adapters than it has slots: one that requests still use keeps its slot.
test('an adapter whose unload was accepted stays charged until a state shows that it is gone', () => {
	const ledger = createLedger();
	const [model] = models as [ModelId];
	const adapter = 'a1' as AdapterId;
	const stateWith = (
		orderSequence: number,
		adapters: readonly AdapterId[],
	) => ({
		...state(orderSequence, []),
		models: [{model, adapters}],
	});
	ledger.observe(stateWith(0, [adapter]), 0);
	ledger.beginOrder({action: 'unload', model, adapter});
	ledger.onOrderAccepted(1000);
	assert.equal(ledger.chargedAdapters().length, 1);
	assert.ok(ledger.needsStateRead);
	ledger.observe(stateWith(1, [adapter]), 1500);
	assert.equal(ledger.chargedAdapters().length, 1);
	assert.ok(ledger.needsStateRead);
	ledger.observe(stateWith(1, []), 2000);
	assert.equal(ledger.chargedAdapters().length, 0);
	assert.ok(!ledger.needsStateRead);
});

/**
 * A target with memory for two models. It fails the test when an order exceeds that, and carries out delayed orders whose
 * sequence number still matches.
 */
class SimulatedTarget {
	sequence = 0;
	incarnation = 1;
	readonly held = new Set<ModelId>();
	private readonly delayedOrders: Array<OrderSubject & {expected: number}> = [];

	receive(subject: OrderSubject, expected: number): 'accepted' | 'conflict' {
		if (expected !== this.sequence) {
			return 'conflict';
		}

		this.sequence++;
		if (subject.action === 'load') {
			this.held.add(subject.model);
		} else {
			this.held.delete(subject.model);
		}

		assert.ok(
			this.held.size <= 2,
			'the target holds more models than fit into its memory',
		);
		return 'accepted';
	}

	/** Loses everything but the orders that are under way. */
	restart(): void {
		this.incarnation++;
		this.sequence = 0;
		this.held.clear();
	}

	get state(): TargetOrderState {
		return {
			...state(this.sequence, [...this.held]),
			incarnation: `w@${this.incarnation}` as TargetIncarnation,
		};
	}

	delay(subject: OrderSubject, expected: number): void {
		this.delayedOrders.push({...subject, expected});
	}

	carryOutDelayed(): void {
		const [order] = this.delayedOrders.splice(0, 1);
		if (order) {
			this.receive(order, order.expected);
		}
	}
}

test('lost, delayed and acknowledged orders never overcommit memory in any arrival order', () => {
	const action = fc.record({
		kind: fc.constantFrom(
			'load',
			'load',
			'load',
			'unload',
			'unload',
			'state',
			'state',
			'delayed',
			'restart',
		),
		model: fc.constantFrom(...models),
		delivery: fc.constantFrom('delivered', 'response lost', 'delayed'),
	});
	fc.assert(
		fc.property(fc.array(action, {maxLength: 60}), (actions) => {
			const ledger = createLedger();
			const target = new SimulatedTarget();
			let now = 0;
			ledger.observe(target.state, now);
			for (const {kind, model, delivery} of actions) {
				now += 200;
				switch (kind) {
					case 'delayed': {
						target.carryOutDelayed();
						break;
					}

					case 'restart': {
						target.restart();
						break;
					}

					case 'state': {
						ledger.observe(target.state, now);
						break;
					}

					case 'load':
					case 'unload': {
						sendOrder({ledger, target, kind, model, delivery, now});
					}
				}
			}
		}),
		{seed: 3, numRuns: 5000},
	);
});

function sendOrder(options: {
	readonly ledger: SequencedOrderLedger;
	readonly target: SimulatedTarget;
	readonly kind: string;
	readonly model: ModelId;
	readonly delivery: string;
	readonly now: number;
}): void {
	const {ledger, target, kind, model, delivery, now} = options;
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
	if (delivery === 'delayed') {
		target.delay(subject, expected);
		ledger.onResponseMissing(now);
		return;
	}

	const outcome = target.receive(subject, expected);
	if (delivery === 'response lost') {
		ledger.onResponseMissing(now);
	} else if (outcome === 'accepted') {
		ledger.onOrderAccepted(now);
	} else {
		ledger.onOrderRefused();
	}
}
