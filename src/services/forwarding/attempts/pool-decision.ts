import {type ModelId} from '../../../contracts/ids.js';
import {type PoolReachability} from '../../../contracts/pool-reachability.js';
import {type TargetRegistry} from '../targets/target-registry.js';
import {type ForwardDispatch, type PoolObstacle} from './forward-dispatch.js';
import {type ForwardedRequest} from './forwarded-request.js';

/** What a host does with a request for a pool. A request is held back if all targets with its model turned the host away. */
export type PoolDecision =
	| {readonly kind: 'submit'}
	| {readonly kind: 'other-host'}
	| ({readonly kind: 'refuse'} & PoolObstacle)
	| ({readonly kind: 'held-back'} & PoolObstacle);

/** Reason of the refusal of a request whose model or pool the document does not name. */
export const unknownModelReason = 'the pool or model does not exist';

/** Retry delay while all targets of a pool leave: the time in which another one starts and loads a model. */
const newTargetMilliseconds = 3000;

/** True if the pool serves the model, or the request names none. */
export function servesModel(
	{models}: {readonly models: ReadonlySet<ModelId> | undefined},
	model: ModelId | undefined,
): boolean {
	return model === undefined || models?.has(model) === true;
}

/** Decides whether a request is queued for a pool on this host. */
export function decideForPool(
	dispatch: ForwardDispatch,
	request: ForwardedRequest,
	{
		reachability,
		registry,
	}: {
		readonly reachability: PoolReachability;
		readonly registry: TargetRegistry;
	},
): PoolDecision {
	if (reachability.isCutOff(dispatch.pool)) {
		return {kind: 'other-host'};
	}

	if (registry.isLeavingAltogether(dispatch.pool)) {
		return {
			kind: 'refuse',
			reason: 'all targets of the pool leave',
			retryAfterMilliseconds: newTargetMilliseconds,
		};
	}

	const hold = dispatch.findHold(request);
	return hold ? {kind: 'held-back', ...hold} : {kind: 'submit'};
}
