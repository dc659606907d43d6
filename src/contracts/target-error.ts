import {type Execution} from './execution.js';

/** A failure of a target. `execution` says whether the request can have had an effect. */
export abstract class TargetError extends Error {
	abstract readonly execution: Execution;
}

/** Why a target refused. */
export type RefusalReason =
	| 'busy'
	| 'leaving'
	| 'not-resident'
	| 'insufficient-memory'
	| 'stale-token'
	| 'unknown-request'
	| 'invalid';

/** The target answered that it did not run the request. */
export class TargetRefusedError extends TargetError {
	override readonly name = 'TargetRefusedError';
	readonly execution = 'not-run';

	constructor(
		readonly reason: RefusalReason,
		message: string,
	) {
		super(message);
	}
}

/** No connection could be made, so no byte of the request left. */
export class TargetUnreachableError extends TargetError {
	override readonly name = 'TargetUnreachableError';
	readonly execution = 'not-run';
}

/** The connection broke or the time ran out after a byte may have left. */
export class TargetResponseLostError extends TargetError {
	override readonly name = 'TargetLostError';
	readonly execution = 'unknown';

	constructor(
		readonly loss: 'closed' | 'timeout' | 'aborted',
		message: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** The target answered in a form that does not follow its protocol. */
export class TargetProtocolError extends TargetError {
	override readonly name = 'TargetProtocolError';
	readonly execution = 'unknown';
}
