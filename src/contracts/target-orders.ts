import {type ResultAsync} from 'neverthrow';
import {
	type AdapterId,
	type FencingToken,
	type HostId,
	type ModelId,
} from './ids.js';
import {type ListedTarget, type TargetResidency} from './listed-target.js';
import {type ResponseMetadata} from './request-codec.js';

/** An order to a target to load or unload a model, or an adapter of a resident model. */
export type TargetOrder = {
	readonly action: 'load' | 'unload';
	readonly model: ModelId;
	readonly adapter: AdapterId | undefined;
	/** The target accepts the order only if this is the number of orders that it has accepted before. */
	readonly expectedSequence: number;
	/** The host that holds the owner lease, and the fencing token of the lease. */
	readonly holder: HostId;
	readonly token: FencingToken;
};

/** How a target responded to an order. */
export type OrderOutcome =
	| 'accepted'
	| 'already-done'
	/** Another order is in progress, or the sequence number differs. */
	| 'conflict'
	/** The target has seen a newer fencing token. */
	| 'superseded'
	/** The address now belongs to another target. */
	| 'not-this-target'
	| 'invalid';

/** State that a target reported. It may already be outdated. */
export type TargetOrderState = TargetResidency & {
	/** Number of orders that the target has accepted. It restarts with each incarnation. */
	readonly orderSequence: number;
	/** True while the target loads or unloads a model. */
	readonly isBusy: boolean;
	/** Adapters that are being loaded, with their models. */
	readonly loadingAdapters: ReadonlyArray<{
		readonly model: ModelId;
		readonly adapter: AdapterId;
	}>;
};

/** A target sent no usable response. An order to it may have taken effect, may take effect later or never. */
export class NoResponseError extends Error {
	override readonly name = 'NoResponseError';
}

/** What the head of any answer of a target to an order or a read of its state says. */
export type OrderAnswer = Pick<
	ResponseMetadata,
	'isLeaving' | 'holdBack' | 'refusalsPerSecond'
> & {
	readonly target: ListedTarget;
};

/** Sends orders to targets and reads their state. */
export abstract class TargetOrderPort {
	/** Sends an order once, without retries. */
	abstract sendOrder(
		target: ListedTarget,
		order: TargetOrder,
	): ResultAsync<OrderOutcome, NoResponseError>;

	/** Returns the current state of a target. */
	abstract fetchState(
		target: ListedTarget,
	): ResultAsync<TargetOrderState, NoResponseError>;
}
