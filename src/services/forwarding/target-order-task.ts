import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {
	type AdapterId,
	type FencingToken,
	type HostId,
	type ModelId,
	type TargetId,
} from '../../contracts/ids.js';
import {type ListedTarget} from '../../contracts/listed-target.js';
import {
	type OrderOutcome,
	type TargetOrderPort,
} from '../../contracts/target-orders.js';
import {
	adapterKey,
	type AdapterReference,
} from '../../core/adapter-slot-policy.js';
import {
	SequencedOrderLedger,
	type OrderSubject,
} from '../../core/sequenced-order-ledger.js';
import {type PlacedContent, type RegisteredTarget} from './target-registry.js';

/** Options of the task of one target. */
export type TargetOrderTaskOptions = {
	readonly target: RegisteredTarget;
	readonly host: HostId;
	readonly port: TargetOrderPort;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** The token under which orders may be given now. */
	readonly token: () => FencingToken | undefined;
	/** A target refused the token, because a newer holder exists. */
	readonly onSuperseded: () => void;
	/** What the target holds has changed. */
	readonly onChanged: () => void;
	readonly onOrderSent: () => void;
};

/** A report of a target is as of at most this long ago. */
const stateLagMilliseconds = 150;
/** Pause between two reads of the state of a target that carries out an order. */
const statePauseMilliseconds = 80;
/** Time from an accepted load of an adapter until it serves. */
const adapterLoadMilliseconds = 12;
/** Time in which all hosts learn that a model gets no new work before it is unloaded. */
const retirementMilliseconds = 120;

/** Gives the orders to one target, one at a time, and knows what it holds. */
export class TargetOrderTask {
	readonly ledger = new SequencedOrderLedger({stateLagMilliseconds});
	private isCalling = false;
	private stateReadAt = Number.NEGATIVE_INFINITY;
	private readonly retiringSince = new Map<ModelId, number>();
	private readonly residentSince = new Map<ModelId, number>();
	private readonly adapterReadyAt = new Map<string, number>();

	constructor(private readonly options: TargetOrderTaskOptions) {}

	get id(): TargetId {
		return this.options.target.listed.id;
	}

	/** True when the task is of this registration of the target. */
	isForRegistration(target: RegisteredTarget | undefined): boolean {
		return this.options.target === target;
	}

	get listed(): ListedTarget {
		return this.options.target.listed;
	}

	/** True when an order can be sent now. */
	get canSendOrder(): boolean {
		return !this.isCalling && this.hasCurrentState && this.ledger.isReady;
	}

	/** Time for which a model has been resident. */
	residentMilliseconds(model: ModelId): number {
		const since = this.residentSince.get(model);
		return since === undefined ? 0 : this.options.clock.monotonic() - since;
	}

	/** True when the state of the listed incarnation is known. */
	get hasCurrentState(): boolean {
		return this.ledger.currentIncarnation === this.listed.residency.incarnation;
	}

	/** Reads the state of the target where orders depend on it. */
	refresh(): void {
		const {clock} = this.options;
		const now = clock.monotonic();
		if (
			(this.ledger.needsStateRead || !this.hasCurrentState) &&
			!this.isCalling &&
			now - this.stateReadAt >= statePauseMilliseconds
		) {
			void this.readState();
		}
	}

	/** Notes which models are to stay. Others get no new work from now on. */
	setDesiredModels(desired: ReadonlySet<ModelId>): void {
		const now = this.options.clock.monotonic();
		let isChanged = false;
		for (const model of this.ledger.residentModels().keys()) {
			if (desired.has(model)) {
				isChanged = this.retiringSince.delete(model) || isChanged;
			} else if (!this.retiringSince.has(model)) {
				this.retiringSince.set(model, now);
				isChanged = true;
			}
		}

		if (isChanged) {
			this.options.onChanged();
		}
	}

	/** A model whose retirement is known to all hosts. */
	retiredModel(): ModelId | undefined {
		const now = this.options.clock.monotonic();
		for (const [model, since] of this.retiringSince) {
			if (
				now - since >= retirementMilliseconds &&
				this.ledger.residentModels().has(model)
			) {
				return model;
			}
		}

		return undefined;
	}

	/** Models that serve and stay. */
	retainedModels(): Set<ModelId> {
		return new Set(
			[...this.ledger.residentModels().keys()].filter(
				(model) =>
					!this.retiringSince.has(model) &&
					!this.ledger.unloadingModels.has(model),
			),
		);
	}

	/** What the other hosts may use, and the time at which that changes without an order. */
	content(): PlacedContent {
		const now = this.options.clock.monotonic();
		const models = [...this.ledger.residentModels()].map(
			([model, adapters]) => ({
				model,
				adapters: [...adapters].filter((adapter) =>
					this.isReady({model, adapter}, now),
				),
				isRetiring:
					this.retiringSince.has(model) ||
					this.ledger.unloadingModels.has(model),
			}),
		);
		return {
			target: this.id,
			incarnation: this.ledger.currentIncarnation!,
			models,
		};
	}

	/** Sends one order. The caller has checked memory and places. */
	async sendOrder(subject: OrderSubject, reason: string): Promise<void> {
		const {port, host, token, events, clock} = this.options;
		const held = token();
		if (held === undefined || !this.canSendOrder) {
			return;
		}

		this.isCalling = true;
		this.options.onOrderSent();
		const expectedSequence = this.ledger.beginOrder(subject);
		const result = await port.sendOrder(this.listed, {
			...subject,
			expectedSequence,
			holder: host,
			token: held,
		});
		this.isCalling = false;
		const fields = {
			target: this.id,
			...subject,
			expectedSequence,
			token: held,
			reason,
		};
		if (result.isErr()) {
			this.ledger.onResponseMissing();
			events.record(forwardingEvents.orderUnanswered, {
				...fields,
				error: result.error.message,
			});
			return;
		}

		events.record(forwardingEvents.orderGiven, {
			...fields,
			outcome: result.value,
		});
		this.takeIn(subject, result.value, clock.monotonic());
		this.options.onChanged();
	}

	private takeIn(
		subject: OrderSubject,
		outcome: OrderOutcome,
		now: number,
	): void {
		if (outcome === 'accepted') {
			this.ledger.onOrderAccepted(now);
			this.noteAdapter(subject, now);
			return;
		}

		if (outcome === 'already-done') {
			this.ledger.onOrderAlreadyDone(now);
			return;
		}

		this.ledger.onOrderRefused();
		if (outcome === 'superseded') {
			this.options.onSuperseded();
		}
	}

	private noteAdapter(
		{action, model, adapter}: OrderSubject,
		now: number,
	): void {
		if (action !== 'load' || adapter === undefined) {
			return;
		}

		this.adapterReadyAt.set(
			adapterKey({model, adapter}),
			now + adapterLoadMilliseconds,
		);
		setTimeout(() => {
			this.options.onChanged();
		}, adapterLoadMilliseconds);
	}

	private isReady(name: AdapterReference, now: number): boolean {
		return (this.adapterReadyAt.get(adapterKey(name)) ?? 0) <= now;
	}

	private async readState(): Promise<void> {
		const {port, clock} = this.options;
		this.isCalling = true;
		this.stateReadAt = clock.monotonic();
		const state = await port.fetchState(this.listed);
		this.isCalling = false;
		if (state.isOk()) {
			this.observe(state.value, clock.monotonic());
		}
	}

	private observe(
		state: Parameters<SequencedOrderLedger['observe']>[0],
		now: number,
	): void {
		if (!this.ledger.observe(state, now)) {
			return;
		}

		const resident = this.ledger.residentModels();
		for (const model of this.residentSince.keys()) {
			if (!resident.has(model)) {
				this.residentSince.delete(model);
				this.retiringSince.delete(model);
			}
		}

		for (const model of resident.keys()) {
			if (!this.residentSince.has(model)) {
				this.residentSince.set(model, now);
			}
		}

		this.options.onChanged();
	}
}

/** Adapter of a model, for orders. */
export function adapterSubject(
	action: OrderSubject['action'],
	name: {readonly model: ModelId; readonly adapter: AdapterId},
): OrderSubject {
	return {action, model: name.model, adapter: name.adapter};
}
