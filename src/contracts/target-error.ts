import {type Execution} from './execution.js';

/** A request to a target failed. `execution` states whether the request can have had an effect. */
export abstract class TargetError extends Error {
	abstract readonly execution: Execution;
}

/** Why a target refused a request. */
export type RefusalReason =
	| 'busy'
	| 'leaving'
	| 'not-resident'
	| 'insufficient-memory'
	| 'stale-token'
	| 'unknown-request'
	| 'invalid';

/** The target responded that it did not execute the request. */
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

/** No connection to the target could be established, so that no byte of the request was sent. */
export class TargetUnreachableError extends TargetError {
	override readonly name = 'TargetUnreachableError';
	readonly execution = 'not-run';
}

/** The connection closed, the request timed out or it was aborted after a byte of it may have been sent. */
export class TargetResponseLostError extends TargetError {
	override readonly name = 'TargetResponseLostError';
	readonly execution = 'unknown';

	constructor(
		readonly loss: 'closed' | 'timeout' | 'aborted',
		message: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** The target sent a response that violates its protocol. */
export class TargetProtocolError extends TargetError {
	override readonly name = 'TargetProtocolError';
	readonly execution = 'unknown';
}
