import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {
	type AdapterId,
	type FencingToken,
	type HostId,
	type ModelId,
	type TargetId,
} from '../../../contracts/ids.js';
import {type ListedTarget} from '../../../contracts/listed-target.js';
import {
	type OrderOutcome,
	type TargetOrderPort,
} from '../../../contracts/target-orders.js';
import {
	adapterKey,
	type AdapterReference,
} from '../../../core/placement/adapter-slot-policy.js';
import {
	SequencedOrderLedger,
	type OrderSubject,
} from '../../../core/orders/sequenced-order-ledger.js';
import {type PlacedContent, type RegisteredTarget} from './target-registry.js';

/** Options of the order task of one target. */
export type TargetOrderTaskOptions = {
	readonly target: RegisteredTarget;
	/** This host, which is named as the holder in orders. */
	readonly host: HostId;
	readonly port: TargetOrderPort;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** The token with which orders may be sent now, undefined when this host may not send any. */
	readonly token: () => FencingToken | undefined;
	/** Called when the target refused the token, because a newer holder exists. */
	readonly onSuperseded: () => void;
	/** Called when the content of the target has changed. */
	readonly onChanged: () => void;
	/** Time for all hosts to receive the update that a model gets no new work, before the model is unloaded. */
	readonly retirementMilliseconds: () => number;
	/** Rate of requests that the target takes, undefined without a limit. Reads of its state count among them. */
	readonly requestsPerSecond: () => number | undefined;
	/** True while the target wants nothing from this host, not even orders. */
	readonly isHeldBack: () => boolean;
	/** Called before an order is sent. */
	readonly onOrderSent: () => void;
};

/** Maximum age of the state in a report of a target. */
const stateLagMilliseconds = 150;
/** Time after which an order without a response no longer arrives at a target that was restarted. Orders can be seconds late. */
const lateOrderMilliseconds = 15_000;
/** Minimum interval between two reads of the state of a target. */
const stateReadIntervalMilliseconds = 80;
/** Largest share of the rate that a target names for reads of its state. The rest is for requests. */
const maximumReadShare = 0.25;
/** Longest interval between two reads, so that an order to a target with a very low rate still ends. */
const maximumStateReadIntervalMilliseconds = 4000;
/** Time from an accepted load of an adapter until the adapter is ready. The largest adapters take 13 ms while few are loading. */
const adapterLoadMilliseconds = 16;

/** Sends orders to one target, one at a time, and tracks what the target holds. */
export class TargetOrderTask {
	readonly ledger = new SequencedOrderLedger({
		stateLagMilliseconds,
		lateOrderMilliseconds,
	});

	private hasOpenCall = false;
	private stateReadAt = Number.NEGATIVE_INFINITY;
	private readonly retiringSince = new Map<ModelId, number>();
	private readonly residentSince = new Map<ModelId, number>();
	private readonly adapterReadyAt = new Map<string, number>();

	constructor(private readonly options: TargetOrderTaskOptions) {}

	/** Id of the target. */
	get id(): TargetId {
		return this.options.target.listed.id;
	}

	/** True when the task was created for this registration of the target. */
	isForRegistration(target: RegisteredTarget | undefined): boolean {
		return this.options.target === target;
	}

	/** Current entry of the target in the target list. */
	get listed(): ListedTarget {
		return this.options.target.listed;
	}

	/** True when an order can be sent now. */
	get canSendOrder(): boolean {
		return (
			!this.hasOpenCall &&
			this.hasCurrentState &&
			this.ledger.isReady &&
			!this.options.isHeldBack()
		);
	}

	/** Time for which a model has been resident, 0 when it is not. */
	residentMilliseconds(model: ModelId): number {
		const since = this.residentSince.get(model);
		return since === undefined ? 0 : this.options.clock.monotonic() - since;
	}

	/** True when the state of the listed incarnation is known. */
	get hasCurrentState(): boolean {
		return this.ledger.currentIncarnation === this.listed.residency.incarnation;
	}

	/** Reads the state of the target if orders depend on it. */
	refresh(): void {
		const {clock} = this.options;
		const now = clock.monotonic();
		if (
			(this.ledger.needsStateRead || !this.hasCurrentState) &&
			!this.hasOpenCall &&
			!this.options.isHeldBack() &&
			now - this.stateReadAt >= this.stateReadInterval()
		) {
			void this.readState();
		}
	}

	/** Sets the models that the target should hold. The others are retired: they get no new work from now on. */
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

	/** Returns a retired model that may be unloaded, because its retirement is known to all hosts. */
	retiredModel(): ModelId | undefined {
		const now = this.options.clock.monotonic();
		const retirementMilliseconds = this.options.retirementMilliseconds();
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

	/** Resident models that are neither retired nor being unloaded. */
	retainedModels(): Set<ModelId> {
		return new Set(
			[...this.ledger.residentModels().keys()].filter(
				(model) =>
					!this.retiringSince.has(model) &&
					!this.ledger.unloadingModels.has(model),
			),
		);
	}

	/** Content of the target that the hosts may use now. */
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

	/** Sends one order. Does nothing when no order can be sent now. The caller has checked the memory and adapter slots. */
	async sendOrder(subject: OrderSubject, reason: string): Promise<void> {
		const {port, host, token, events, clock} = this.options;
		const heldToken = token();
		if (heldToken === undefined || !this.canSendOrder) {
			return;
		}

		this.hasOpenCall = true;
		this.options.onOrderSent();
		const expectedSequence = this.ledger.beginOrder(subject);
		const result = await port.sendOrder(this.listed, {
			...subject,
			expectedSequence,
			holder: host,
			token: heldToken,
		});
		this.hasOpenCall = false;
		const fields = {
			target: this.id,
			...subject,
			expectedSequence,
			token: heldToken,
			reason,
		};
		if (result.isErr()) {
			this.ledger.onResponseMissing(clock.monotonic());
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
		this.applyOutcome(subject, result.value, clock.monotonic());
		this.options.onChanged();
	}

	private applyOutcome(
		subject: OrderSubject,
		outcome: OrderOutcome,
		now: number,
	): void {
		if (outcome === 'accepted') {
			this.ledger.onOrderAccepted(now);
			this.recordAdapterLoad(subject, now);
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

	private recordAdapterLoad(
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

	private stateReadInterval(): number {
		const requestsPerSecond = this.options.requestsPerSecond();
		return requestsPerSecond === undefined
			? stateReadIntervalMilliseconds
			: Math.min(
					maximumStateReadIntervalMilliseconds,
					Math.max(
						stateReadIntervalMilliseconds,
						1000 / (requestsPerSecond * maximumReadShare),
					),
				);
	}

	private async readState(): Promise<void> {
		const {port, clock} = this.options;
		this.hasOpenCall = true;
		this.stateReadAt = clock.monotonic();
		const state = await port.fetchState(this.listed);
		this.hasOpenCall = false;
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

/** Creates the subject of an order for an adapter. */
export function adapterSubject(
	action: OrderSubject['action'],
	name: {readonly model: ModelId; readonly adapter: AdapterId},
): OrderSubject {
	return {action, model: name.model, adapter: name.adapter};
}
