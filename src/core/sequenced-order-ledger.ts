import {
	type AdapterId,
	type ModelId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {type TargetOrderState} from '../contracts/target-orders.js';
import {adapterKey, type AdapterReference} from './adapter-slot-policy.js';

/** What an order does, without the fields that concern its sender. */
export type OrderSubject = {
	readonly action: 'load' | 'unload';
	readonly model: ModelId;
	readonly adapter: AdapterId | undefined;
};

type PendingOrder = OrderSubject & {readonly expectedSequence: number};

/**
 * What one target may hold in the worst case, where each order names the number of orders that the target
 * has accepted. A late order takes effect only while no other one was accepted, so at most one order is open:
 * an unanswered one stays charged until the sequence number has passed it.
 */
export class SequencedOrderLedger {
	/** Models whose load was accepted and is not seen done. */
	readonly loadingModels = new Set<ModelId>();
	/** Models whose unload was accepted and is not seen done. */
	readonly unloadingModels = new Set<ModelId>();
	private incarnation: TargetIncarnation | undefined;
	private sequence = 0;
	private readonly models = new Map<ModelId, Set<AdapterId>>();
	/** Orders that were sent and have no answer. All expect the same sequence, so one of them at most takes effect. */
	private open: PendingOrder[] = [];
	/** The last accepted order concerned a model and is carried out. */
	private isBusy = false;
	private isKnown = false;
	private acceptedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly options: {
			/** Age that a state may have when it arrives. Younger orders are not in it. */
			readonly stateLagMilliseconds: number;
		},
	) {}

	/** True when the state of the target has to be read before the next order. */
	get needsStateRead(): boolean {
		return !this.isKnown || this.isBusy || this.open.length > 0;
	}

	/** True when an order may be sent now. */
	get isReady(): boolean {
		return this.isKnown && !this.isBusy;
	}

	/** True while the target may carry out an order whose answer is missing. */
	get hasOpenOrder(): boolean {
		return this.open.length > 0;
	}

	get currentIncarnation(): TargetIncarnation | undefined {
		return this.incarnation;
	}

	/** Models that serve. */
	residentModels(): ReadonlyMap<ModelId, ReadonlySet<AdapterId>> {
		return this.models;
	}

	/** Models that the target holds or may hold once an open order is carried out. */
	chargedModels(): ReadonlySet<ModelId> {
		const charged = new Set(this.models.keys());
		for (const {action, model, adapter} of this.open) {
			if (action === 'load' && adapter === undefined) {
				charged.add(model);
			}
		}

		for (const model of this.loadingModels) {
			charged.add(model);
		}

		return charged;
	}

	/** Adapters that the target holds or may hold once an open order is carried out. */
	chargedAdapters(): AdapterReference[] {
		const names = new Map<string, AdapterReference>();
		for (const [model, adapters] of this.models) {
			for (const adapter of adapters) {
				const name = {model, adapter};
				names.set(adapterKey(name), name);
			}
		}

		for (const {action, model, adapter} of this.open) {
			if (action === 'load' && adapter !== undefined) {
				const name = {model, adapter};
				names.set(adapterKey(name), name);
			}
		}

		return [...names.values()];
	}

	/** Takes in a state read from the target. Returns false when it is older than what is known. */
	observe(state: TargetOrderState, now: number): boolean {
		if (this.incarnation !== state.incarnation) {
			this.reset(state.incarnation);
			this.adopt(state);
			return true;
		}

		const isOlder = state.orderSequence < this.sequence;
		const mayLag = now - this.acceptedAt < this.options.stateLagMilliseconds;
		if (isOlder || (mayLag && state.orderSequence === this.sequence)) {
			return false;
		}

		this.adopt(state);
		return true;
	}

	/** Starts an order. The caller checks room first. */
	beginOrder(subject: OrderSubject): number {
		this.open.push({...subject, expectedSequence: this.sequence});
		return this.sequence;
	}

	/** The target accepted the order that was begun last, which makes older open ones void. */
	onOrderAccepted(now: number): void {
		const pending = this.open.at(-1);
		if (!pending) {
			return;
		}

		this.open = [];
		this.sequence = pending.expectedSequence + 1;
		this.acceptedAt = now;
		this.apply(pending);
	}

	/** The target answered that the order had nothing to do. */
	onOrderAlreadyDone(now: number): void {
		const pending = this.open.pop();
		if (pending?.action === 'unload' && pending.adapter !== undefined) {
			// An idle adapter goes at once, and the order counts.
			this.open = [];
			this.sequence = pending.expectedSequence + 1;
			this.acceptedAt = now;
			this.apply(pending);
			return;
		}

		this.isKnown = false;
	}

	/** The target refused the order that was begun last, so its state is not the one expected. */
	onOrderRefused(): void {
		this.open.pop();
		this.isKnown = false;
	}

	/** The order got no answer and stays charged. */
	onResponseMissing(): void {
		this.isKnown = false;
	}

	private apply({action, model, adapter}: OrderSubject): void {
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
		}

		this.models.set(model, adapters);
	}

	private adopt(state: TargetOrderState): void {
		// The sequence has passed an open order: it was carried out and shows, or another one made it void.
		this.open = this.open.filter(
			({expectedSequence}) => state.orderSequence <= expectedSequence,
		);

		this.sequence = state.orderSequence;
		this.isBusy = state.isBusy;
		this.isKnown = true;
		this.models.clear();
		for (const {model, adapters} of state.models) {
			this.models.set(model, new Set(adapters));
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

	private reset(incarnation: TargetIncarnation): void {
		this.incarnation = incarnation;
		this.sequence = 0;
		this.open = [];
		this.isBusy = false;
		this.acceptedAt = Number.NEGATIVE_INFINITY;
		this.loadingModels.clear();
		this.unloadingModels.clear();
		this.models.clear();
	}
}
