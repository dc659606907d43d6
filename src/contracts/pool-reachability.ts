import {type TypedEvent} from '../base/common/typed-event.js';
import {type PoolName} from './ids.js';

/** Tells whether this host has lost its paths to all targets of a pool. */
export abstract class PoolReachability {
	/** The pool was cut off, or its targets are reached again. */
	abstract readonly changed: TypedEvent<PoolName>;

	/** True while this host reaches no target of the pool. */
	abstract isCutOff(pool: PoolName): boolean;
}
