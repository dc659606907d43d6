import {
	type AdapterId,
	type ModelId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type TargetOrderState} from '../../contracts/target-orders.js';
import {
	adapterKey,
	type AdapterReference,
} from '../placement/adapter-slot-policy.js';

/** The operation of an order, without the fields that identify its sender. */
export type OrderSubject = {
	readonly action: 'load' | 'unload';
	readonly model: ModelId;
	readonly adapter: AdapterId | undefined;
};

type PendingOrder = OrderSubject & {readonly expectedSequence: number};

type UnansweredOrder = PendingOrder & {readonly at: number};

/**
 * Accounts for the models and adapters that one target may hold in the worst case. Each order carries the number of
 * orders that the target is expected to have accepted, and the target accepts an order only while this sequence number
 * matches. At most one of the orders without a response can therefore still take effect. They stay charged until the
 * sequence number of the target has passed theirs. A restart of the target clears its sequence number, so orders to an
 * earlier incarnation can take effect again.
 */
export class SequencedOrderLedger {
	/** Models whose load was accepted and has not been observed to be complete. */
	readonly loadingModels = new Set<ModelId>();
	/** Models whose unload was accepted and has not been observed to be complete. */
	readonly unloadingModels = new Set<ModelId>();
	private incarnation: TargetIncarnation | undefined;
	private sequence = 0;
	private readonly models = new Map<ModelId, Set<AdapterId>>();
	/** Adapters whose unload was accepted and has not been observed to be complete, because requests still use them. */
	private readonly unloadingAdapters = new Map<string, AdapterReference>();
	/** Orders that were sent and have no response. All expect the same sequence number, so at most one takes effect. */
	private openOrders: PendingOrder[] = [];
	/** Orders of this incarnation without a response, also those that the sequence number has passed. */
	private unansweredOrders: UnansweredOrder[] = [];
	/** Orders to earlier incarnations without a response. */
	private lateOrders: UnansweredOrder[] = [];
	/** True while the target carries out an accepted order to load or unload a model. */
	private isBusy = false;
	private isStateKnown = false;
	private lastAcceptedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly options: {
			/** Maximum age of a state when it is received. The state may lack orders that were accepted within this time. */
			readonly stateLagMilliseconds: number;
			/** Time after which an order without a response no longer arrives at a later incarnation of the target. */
			readonly lateOrderMilliseconds: number;
		},
	) {}

	/** True when the state of the target has to be read before the next order is sent. */
	get needsStateRead(): boolean {
		return (
			!this.isStateKnown ||
			this.isBusy ||
			this.openOrders.length > 0 ||
			this.lateOrders.length > 0 ||
			this.unloadingAdapters.size > 0
		);
	}

	/** True when an order may be sent now. */
	get isReady(): boolean {
		return this.isStateKnown && !this.isBusy;
	}

	/** True when a load was ordered without a response and has not taken effect, so that it may have to be ordered again. */
	isLoadUnconfirmed(model: ModelId, adapter?: AdapterId): boolean {
		const adapters = this.models.get(model);
		const hasTakenEffect =
			adapter === undefined
				? adapters !== undefined || this.loadingModels.has(model)
				: adapters?.has(adapter) === true;
		return (
			this.isReady &&
			!hasTakenEffect &&
			this.possibleLoads().some(
				(order) => order.model === model && order.adapter === adapter,
			)
		);
	}

	/** The incarnation of the last applied state. */
	get currentIncarnation(): TargetIncarnation | undefined {
		return this.incarnation;
	}

	/** Returns the resident models, each with its resident and loading adapters. */
	residentModels(): ReadonlyMap<ModelId, ReadonlySet<AdapterId>> {
		return this.models;
	}

	/** Returns the models that the target holds, is loading, or may hold if an open order is carried out. */
	chargedModels(): ReadonlySet<ModelId> {
		const charged = new Set(this.models.keys());
		for (const {model, adapter} of this.possibleLoads()) {
			if (adapter === undefined) {
				charged.add(model);
			}
		}

		for (const model of this.loadingModels) {
			charged.add(model);
		}

		return charged;
	}

	/** Returns the adapters that the target holds, is loading or unloading, or may hold if an open order is carried out. */
	chargedAdapters(): AdapterReference[] {
		const references = new Map(this.unloadingAdapters);
		for (const [model, adapters] of this.models) {
			for (const adapter of adapters) {
				const reference = {model, adapter};
				references.set(adapterKey(reference), reference);
			}
		}

		for (const {model, adapter} of this.possibleLoads()) {
			if (adapter !== undefined) {
				const reference = {model, adapter};
				references.set(adapterKey(reference), reference);
			}
		}

		return [...references.values()];
	}

	/** Applies a state read from the target. Returns false for a state that may be older than the last accepted order. */
	observe(state: TargetOrderState, now: number): boolean {
		if (this.incarnation !== state.incarnation) {
			this.resetState(state.incarnation);
			this.forgetLateOrders(now);
			this.applyState(state);
			return true;
		}

		this.forgetLateOrders(now);

		const isOlder = state.orderSequence < this.sequence;
		const mayLag =
			now - this.lastAcceptedAt < this.options.stateLagMilliseconds;
		if (isOlder || (mayLag && state.orderSequence === this.sequence)) {
			return false;
		}

		this.applyState(state);
		return true;
	}

	/** Records an order to be sent and returns its expected sequence number. The caller checks the memory first. */
	beginOrder(subject: OrderSubject): number {
		this.openOrders.push({...subject, expectedSequence: this.sequence});
		return this.sequence;
	}

	/** Records that the target accepted the order that was begun last. Older open orders can no longer take effect. */
	onOrderAccepted(now: number): void {
		const order = this.openOrders.at(-1);
		if (!order) {
			return;
		}

		this.openOrders = [];
		this.sequence = order.expectedSequence + 1;
		this.lastAcceptedAt = now;
		this.applyOrder(order);
	}

	/** Records the response that the operation of the order was already done. */
	onOrderAlreadyDone(now: number): void {
		const order = this.openOrders.pop();
		if (order?.action === 'unload' && order.adapter !== undefined) {
			// An idle adapter is unloaded before the target responds, and the order advances the sequence number.
			this.openOrders = [];
			this.sequence = order.expectedSequence + 1;
			this.lastAcceptedAt = now;
			this.models.get(order.model)?.delete(order.adapter);
			return;
		}

		this.isStateKnown = false;
	}

	/** Records that the target refused the order that was begun last. Its state differs from the expected one. */
	onOrderRefused(): void {
		this.openOrders.pop();
		this.isStateKnown = false;
	}

	/** Records that an order got no response. It stays charged. */
	onResponseMissing(now: number): void {
		this.isStateKnown = false;
		const order = this.openOrders.at(-1);
		this.unansweredOrders = this.unansweredOrders.filter(
			({at}) => now - at < this.options.lateOrderMilliseconds,
		);
		if (order) {
			this.unansweredOrders.push({...order, at: now});
		}
	}

	/** Loads without a response that the target may still carry out. */
	private possibleLoads(): PendingOrder[] {
		return [...this.openOrders, ...this.lateOrders].filter(
			({action}) => action === 'load',
		);
	}

	private applyOrder({action, model, adapter}: OrderSubject): void {
		if (adapter === undefined) {
			this.isBusy = true;
			(action === 'load' ? this.loadingModels : this.unloadingModels).add(
				model,
			);
			return;
		}

		const adapters = this.models.get(model) ?? new Set();
		if (action === 'load') {
			adapters.add(adapter);
		} else {
			adapters.delete(adapter);
			const reference = {model, adapter};
			this.unloadingAdapters.set(adapterKey(reference), reference);
		}

		this.models.set(model, adapters);
	}

	private applyState(state: TargetOrderState): void {
		// An open order that the sequence number has passed is either part of this state or can no longer take effect.
		const isPossible = ({expectedSequence}: PendingOrder) =>
			state.orderSequence <= expectedSequence;
		this.openOrders = this.openOrders.filter((order) => isPossible(order));
		this.lateOrders = this.lateOrders.filter((order) => isPossible(order));

		this.sequence = state.orderSequence;
		this.isBusy = state.isBusy;
		this.isStateKnown = true;
		this.models.clear();
		for (const {model, adapters} of state.models) {
			this.models.set(model, new Set(adapters));
		}

		for (const [key, {model, adapter}] of this.unloadingAdapters) {
			if (!this.models.get(model)?.delete(adapter)) {
				this.unloadingAdapters.delete(key);
			}
		}

		for (const {model, adapter} of state.loadingAdapters) {
			const adapters = this.models.get(model) ?? new Set();
			adapters.add(adapter);
			this.models.set(model, adapters);
		}

		for (const model of this.loadingModels) {
			if (!state.isBusy || this.models.has(model)) {
				this.loadingModels.delete(model);
			}
		}

		for (const model of this.unloadingModels) {
			if (!state.isBusy || !this.models.has(model)) {
				this.unloadingModels.delete(model);
			}
		}
	}

	private forgetLateOrders(now: number): void {
		this.lateOrders = this.lateOrders.filter(
			({at}) => now - at < this.options.lateOrderMilliseconds,
		);
	}

	private resetState(incarnation: TargetIncarnation): void {
		this.incarnation = incarnation;
		this.sequence = 0;
		this.openOrders = [];
		this.lateOrders.push(...this.unansweredOrders);
		this.unansweredOrders = [];
		this.isBusy = false;
		this.lastAcceptedAt = Number.NEGATIVE_INFINITY;
		this.loadingModels.clear();
		this.unloadingModels.clear();
		this.unloadingAdapters.clear();
		this.models.clear();
	}
}
