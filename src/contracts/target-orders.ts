import {type ResultAsync} from 'neverthrow';
import {
	type AdapterId,
	type FencingToken,
	type HostId,
	type ModelId,
} from './ids.js';
import {type ListedTarget, type TargetResidency} from './listed-target.js';

/** An order to a target to load or unload a model, or an adapter of a resident model. */
export type TargetOrder = {
	readonly action: 'load' | 'unload';
	readonly model: ModelId;
	readonly adapter: AdapterId | undefined;
	/** The order takes effect only while the target has accepted this many orders. */
	readonly expectedSequence: number;
	readonly holder: HostId;
	readonly token: FencingToken;
};

/** What a target answered to an order. */
export type OrderOutcome =
	| 'accepted'
	| 'already-done'
	/** Another order is in progress, or the sequence number differs. */
	| 'conflict'
	/** A newer token was seen. */
	| 'superseded'
	/** The address belongs to another target. */
	| 'not-this-target'
	| 'invalid';

/** State of a target as of a moment ago. */
export type TargetOrderState = TargetResidency & {
	/** Orders that the target had accepted. Starts anew with each incarnation. */
	readonly orderSequence: number;
	/** True while a model is loaded or unloaded. */
	readonly isBusy: boolean;
	/** Adapters on their way, by model. */
	readonly loadingAdapters: ReadonlyArray<{
		readonly model: ModelId;
		readonly adapter: AdapterId;
	}>;
};

/** An order got no answer. It may take effect now, later or never. */
export class NoResponseError extends Error {
	override readonly name = 'OrderUnansweredError';
}

/** Gives orders to targets and reads their state. */
export abstract class TargetOrderPort {
	abstract sendOrder(
		target: ListedTarget,
		order: TargetOrder,
	): ResultAsync<OrderOutcome, NoResponseError>;

	abstract fetchState(
		target: ListedTarget,
	): ResultAsync<TargetOrderState, NoResponseError>;
}
