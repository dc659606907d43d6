import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type Artifact} from '../../src/contracts/artifact.js';
import {type OrderIntent} from '../../src/contracts/control-record.js';
import {
	type EngineOrder,
	type TargetReport,
} from '../../src/contracts/engine.js';
import {
	type ArtifactKey,
	type FencingToken,
	type OrderId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {FencedOrderLedger} from '../../src/core/orders/fenced-order-ledger.js';
import {RecordedOrderLedger} from '../../src/core/orders/recorded-order-ledger.js';
import {type OrderLedger} from '../../src/core/orders/order-ledger.js';

const seed = 20_261_204;
const target = 't1' as TargetId;
const memoryBytes = 10;
const artifacts: Artifact[] = [6, 5, 4, 3, 2].map((bytes, index) => ({
	key: `model/m${index}@1` as ArtifactKey,
	kind: 'model',
	bytes,
}));

/** A host that holds or once held the lease. */
type Holder = {
	token: FencingToken;
	readonly ledger: OrderLedger;
	appliedEntries: number;
	readonly preparedOrders: EngineOrder[];
	readonly unsentOrders: EngineOrder[];
};
/** An order in flight. `delivered` is true after it arrived once, since it may be duplicated. */
type Message = {order: EngineOrder; sender: Holder; delivered: boolean};
type Response = {
	order: EngineOrder;
	receiver: Holder;
	/** Undefined for a refusal. */
	report: TargetReport | undefined;
};
type LogEntry =
	| {kind: 'claim'}
	| {kind: 'intent'; intent: OrderIntent}
	| {kind: 'settled'; orderId: OrderId};

/** One engine, several lease holders that never learn that they lost the lease, and all messages between them. */
class SimulatedSystem {
	readonly counts = {
		loads: 0,
		unloads: 0,
		refused: 0,
		restarts: 0,
		withoutMemory: 0,
	};

	private readonly holders: Holder[] = [];
	private readonly messages: Message[] = [];
	private readonly responses: Response[] = [];
	private readonly log: LogEntry[] = [{kind: 'claim'}];
	private readonly reports: TargetReport[] = [];
	private readonly content = new Map<
		ArtifactKey,
		{bytes: number; state: 'loading' | 'resident' | 'unloading'}
	>();

	private applied: OrderId[] = [];
	private highestToken = 0;
	private incarnation = 1;
	private sequence = 0;
	private currentToken = 0;
	private nextOrder = 1;

	constructor(private readonly isFencing: boolean) {
		this.publish();
	}

	step(action: string, first: number, second: number): void {
		// Half of the steps are taken by the newest holder.
		const holder =
			first % 2 === 0
				? this.holders.at(-1)
				: this.holders[
						Math.floor(first / 2) % Math.max(1, this.holders.length)
					];
		if (action.startsWith('undisturbed ')) {
			// All stages of an order without interference in between.
			for (const stage of [
				action.slice('undisturbed '.length),
				'submit',
				'send',
				'deliver newest',
				'respond newest',
			]) {
				this.step(stage, first, second);
			}

			return;
		}

		switch (action) {
			case 'deliver newest': {
				this.deliver(this.messages.length - 1, second % 3 === 0);

				break;
			}

			case 'respond newest': {
				this.respond(this.responses.length - 1, false);

				break;
			}

			case 'claim': {
				this.claim(first, holder);

				break;
			}

			case 'deliver': {
				this.deliver(first, second % 3 === 0);

				break;
			}

			case 'drop': {
				this.messages.splice(first % 8, 1);

				break;
			}

			case 'respond': {
				this.respond(first, second % 5 === 0);

				break;
			}

			case 'restart': {
				this.restart();

				break;
			}

			case 'progress': {
				this.progress(first, second % 4 === 0);

				break;
			}

			default: {
				if (holder) {
					this.performAction(action, holder, second);
				}
			}
		}
	}

	/** Returns the bytes that the engine holds if all orders that are not yet delivered arrive in the worst order. */
	worstCaseBytes(): number {
		const worst = new Map(
			[...this.content].map(([key, {bytes}]) => [key, bytes]),
		);
		const orders = [
			...this.messages.map(({order}) => order),
			...this.holders.flatMap(({unsentOrders}) => unsentOrders),
		];
		for (const order of orders) {
			if (order.action === 'load' && this.canApply(order)) {
				worst.set(order.artifact, order.bytes);
			}
		}

		return [...worst.values()].reduce((sum, bytes) => sum + bytes, 0);
	}

	private performAction(action: string, holder: Holder, choice: number): void {
		const {ledger} = holder;
		const artifact = artifacts[choice % artifacts.length]!;
		const orderId = `o${this.nextOrder++}` as OrderId;
		switch (action) {
			case 'fence': {
				const order = ledger.beginFence(orderId, holder.token);
				this.messages.push({order, sender: holder, delivered: false});

				break;
			}

			case 'load':
			case 'unload': {
				const order =
					action === 'load'
						? ledger.prepareLoad(orderId, artifact)
						: ledger.prepareUnload(orderId, artifact.key);
				if (order.isErr()) {
					this.counts.withoutMemory +=
						order.error.reason === 'insufficient-memory' ? 1 : 0;
				} else if (this.isFencing) {
					holder.unsentOrders.push(order.value);
				} else {
					holder.preparedOrders.push(order.value);
				}

				break;
			}

			case 'submit': {
				this.submit(holder);

				break;
			}

			case 'send': {
				const [order] = holder.unsentOrders.splice(
					choice % Math.max(1, holder.unsentOrders.length),
					1,
				);
				if (order) {
					if (ledger instanceof RecordedOrderLedger) {
						ledger.markSent(order.orderId);
					}

					this.messages.push({order, sender: holder, delivered: false});
				}

				break;
			}

			case 'poll': {
				ledger.observeReport(
					this.reports.at(-1 - (choice % 4)) ?? this.reports[0]!,
				);

				break;
			}

			case 'synchronize': {
				this.synchronize(holder);

				break;
			}

			case 'settle': {
				this.settle(holder);

				break;
			}

			case 'withdraw': {
				const order = holder.unsentOrders.pop();
				if (order && ledger instanceof RecordedOrderLedger) {
					ledger.onOrderRefused(order.orderId);
					this.log.push({kind: 'settled', orderId: order.orderId});
				}

				break;
			}
			// No default
		}
	}

	private claim(choice: number, holder: Holder | undefined): void {
		if (this.holders.length === 5 && holder?.token !== this.currentToken) {
			return;
		}

		this.log.push({kind: 'claim'});
		const token = (this.log.length - 1) as FencingToken;
		if (
			holder?.token === this.currentToken &&
			(choice % 8 !== 0 || this.holders.length === 5)
		) {
			holder.token = token;
			this.synchronize(holder);
		} else {
			const ledger = this.isFencing
				? new FencedOrderLedger({target, memoryBytes})
				: new RecordedOrderLedger({target, memoryBytes});
			const next = {
				token,
				ledger,
				appliedEntries: 0,
				preparedOrders: [],
				unsentOrders: [],
			};
			this.holders.push(next);
			this.synchronize(next);
		}

		this.currentToken = token;
	}

	private synchronize(holder: Holder): void {
		holder.appliedEntries = this.log.length;
		if (holder.ledger instanceof RecordedOrderLedger) {
			holder.ledger.synchronize(this.openIntents());
		}
	}

	private openIntents(): OrderIntent[] {
		const open = new Map<OrderId, OrderIntent>();
		for (const entry of this.log) {
			if (entry.kind === 'intent') {
				open.set(entry.intent.orderId, entry.intent);
			} else if (entry.kind === 'settled') {
				open.delete(entry.orderId);
			}
		}

		return [...open.values()];
	}

	private submit(holder: Holder): void {
		const order = holder.preparedOrders.shift();
		const {ledger} = holder;
		if (!order || !(ledger instanceof RecordedOrderLedger)) {
			return;
		}

		const intent = ledger.intentOf(order.orderId);
		if (!intent || holder.token !== this.currentToken) {
			ledger.onIntentIgnored(order.orderId);
			return;
		}

		this.log.push({kind: 'intent', intent});
		ledger.onIntentAccepted(order.orderId);
		this.synchronize(holder);
		holder.unsentOrders.push(order);
	}

	private settle(holder: Holder): void {
		if (holder.ledger instanceof RecordedOrderLedger) {
			for (const orderId of holder.ledger.confirmedOrders) {
				this.log.push({kind: 'settled', orderId});
			}
		}
	}

	private canApply(order: EngineOrder): boolean {
		return this.isFencing
			? order.token >= this.highestToken
			: !this.applied.includes(order.orderId);
	}

	private deliver(choice: number, isRepeated: boolean): void {
		const index = choice % Math.max(1, this.messages.length);
		const message = this.messages[index];
		if (!message) {
			return;
		}

		if (!isRepeated) {
			this.messages.splice(index, 1);
		}

		message.delivered = true;
		const {order, sender} = message;
		if (this.isFencing && !this.canApply(order)) {
			this.counts.refused += 1;
			this.responses.push({order, receiver: sender, report: undefined});
			return;
		}

		if (this.canApply(order)) {
			this.apply(order);
		}

		this.responses.push({
			order,
			receiver: sender,
			report: this.reports.at(-1)!,
		});
	}

	private apply(order: EngineOrder): void {
		this.highestToken = Math.max(this.highestToken, order.token);
		if (order.action === 'load') {
			this.counts.loads += 1;
			this.content.set(order.artifact, {bytes: order.bytes, state: 'loading'});
		} else if (order.action === 'unload') {
			const entry = this.content.get(order.artifact);
			if (entry) {
				this.counts.unloads += 1;
				entry.state = 'unloading';
			}
		}

		if (order.action !== 'fence') {
			this.applied.push(order.orderId);
		}

		this.publish();
	}

	private respond(choice: number, isLost: boolean): void {
		const [response] = this.responses.splice(
			choice % Math.max(1, this.responses.length),
			1,
		);
		if (!response || isLost) {
			return;
		}

		const {order, receiver, report} = response;
		if (!report) {
			receiver.ledger.onOrderRefused(order.orderId);
		} else if (order.action === 'fence') {
			receiver.ledger.onFenceAcknowledged(order.orderId, report);
		} else {
			receiver.ledger.onOrderAcknowledged(order.orderId, report);
		}
	}

	private restart(): void {
		this.counts.restarts += 1;
		this.incarnation += 1;
		this.sequence = 0;
		this.content.clear();
		this.applied = [];
		if (!this.isFencing) {
			// Duplicates on connections to the previous process are lost with it.
			for (let index = this.messages.length - 1; index >= 0; index--) {
				if (this.messages[index]!.delivered) {
					this.messages.splice(index, 1);
				}
			}
		}

		this.publish();
	}

	/** Completes a load or unload, or fails a load. */
	private progress(choice: number, isFailed: boolean): void {
		const entries = [...this.content];
		const [key, entry] = entries[choice % Math.max(1, entries.length)] ?? [];
		if (!key || !entry) {
			return;
		}

		if (
			entry.state === 'unloading' ||
			(entry.state === 'loading' && isFailed)
		) {
			this.content.delete(key);
		} else {
			entry.state = 'resident';
		}

		this.publish();
	}

	/** Publishes a report of the current state. */
	private publish(): void {
		this.reports.push({
			target,
			incarnation: `i${this.incarnation}` as TargetIncarnation,
			sequence: this.sequence++,
			leaving: false,
			role: 'mixed',
			memoryBytes,
			artifacts: [...this.content].map(([key, {bytes, state}]) => ({
				key,
				bytes,
				state,
			})),
			highestToken: this.highestToken as FencingToken,
			running: 0,
			queued: 0,
			slots: 8,
			appliedOrders: this.applied.slice(-4),
		});
	}
}

const actionWeights: ReadonlyArray<readonly [string, number]> = [
	['claim', 3],
	['deliver', 16],
	['drop', 1],
	['respond', 16],
	['restart', 1],
	['undisturbed fence', 16],
	['undisturbed load', 16],
	['undisturbed unload', 12],
	['progress', 10],
	['fence', 8],
	['load', 12],
	['unload', 8],
	['submit', 10],
	['send', 14],
	['poll', 8],
	['synchronize', 8],
	['settle', 8],
	['withdraw', 1],
];
const step = fc.record({
	action: fc.oneof(
		...actionWeights.map(([value, weight]) => ({
			arbitrary: fc.constant(value),
			weight,
		})),
	),
	first: fc.nat(63),
	second: fc.nat(63),
});

for (const isFencing of [true, false]) {
	// Orders of older holders, paused senders, duplicated orders and restarts of the engine could overcommit memory.
	test(`orders never overcommit memory in any arrival order (fencing: ${isFencing})`, (context) => {
		const totals: Record<string, number> = {};
		fc.assert(
			fc.property(fc.array(step, {maxLength: 250, size: 'max'}), (steps) => {
				const system = new SimulatedSystem(isFencing);
				for (const {action, first, second} of steps) {
					system.step(action, first, second);
					assert.ok(
						system.worstCaseBytes() <= memoryBytes,
						`${system.worstCaseBytes()} of ${memoryBytes} bytes may be in use after ${action}`,
					);
				}

				for (const [name, count] of Object.entries(system.counts)) {
					totals[name] = (totals[name] ?? 0) + count;
				}
			}),
			{seed, numRuns: 4000, includeErrorInReport: true},
		);
		context.diagnostic(`seed ${seed}: ${JSON.stringify(totals)}`);
		assert.ok(
			Object.entries(totals).every(
				([name, count]) => count > 500 || (name === 'refused' && !isFencing),
			),
		);
	});
}

const emptyReport: TargetReport = {
	target,
	incarnation: 'i1' as TargetIncarnation,
	sequence: 0,
	leaving: false,
	role: 'mixed',
	memoryBytes,
	artifacts: [],
	highestToken: 1 as FencingToken,
	running: 0,
	queued: 0,
	slots: 8,
	appliedOrders: [],
};

// Otherwise a lost order would reserve its memory forever on a target that honours fencing.
test('a fence with a newer token frees the memory of a lost order', () => {
	const ledger = new FencedOrderLedger({target, memoryBytes});
	ledger.beginFence('f1' as OrderId, 1 as FencingToken);
	ledger.onFenceAcknowledged('f1' as OrderId, emptyReport);
	assert.ok(ledger.prepareLoad('o1' as OrderId, artifacts[0]!).isOk());
	assert.ok(ledger.prepareLoad('o2' as OrderId, artifacts[1]!).isErr());
	ledger.beginFence('f2' as OrderId, 1 as FencingToken);
	ledger.onFenceAcknowledged('f2' as OrderId, {...emptyReport, sequence: 1});
	assert.equal(
		ledger.hasReclaimableMemory,
		true,
		'a fence with the same token invalidates no order',
	);
	ledger.beginFence('f3' as OrderId, 2 as FencingToken);
	ledger.onFenceAcknowledged('f3' as OrderId, {...emptyReport, sequence: 2});
	assert.ok(ledger.prepareLoad('o3' as OrderId, artifacts[1]!).isOk());
});

// Memory would be used twice if a former holder settled an order that the newest report does not yet reflect.
test('a settled order of another holder stays charged until a report confirms it', () => {
	const ledger = new RecordedOrderLedger({target, memoryBytes});
	const intent: OrderIntent = {
		orderId: 'o1' as OrderId,
		target,
		action: 'load',
		artifact: artifacts[0]!.key,
		bytes: artifacts[0]!.bytes,
	};
	ledger.synchronize([intent]);
	ledger.beginFence('f1' as OrderId, 1 as FencingToken);
	ledger.onFenceAcknowledged('f1' as OrderId, emptyReport);
	assert.equal(ledger.fits(artifacts[1]!), false, 'the intent is open');
	ledger.synchronize([]);
	assert.equal(ledger.chargedBytes, artifacts[0]!.bytes);
	assert.equal(
		ledger.fits(artifacts[1]!),
		false,
		'no report confirms the settled order',
	);
	ledger.beginFence('f2' as OrderId, 1 as FencingToken);
	ledger.onFenceAcknowledged('f2' as OrderId, {...emptyReport, sequence: 9});
	assert.equal(
		ledger.fits(artifacts[1]!),
		true,
		'the confirming report shows that the load failed',
	);
});
