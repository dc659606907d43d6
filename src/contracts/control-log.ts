import {type ResultAsync} from 'neverthrow';
import {type ControlRecord} from './control-record.js';
import {type LogOffset, type Revision} from './ids.js';
import {type LogError} from './log-service.js';

/** Why a record was ignored when it was applied to the control state. */
export type IgnoreCode =
	| 'already-folded'
	| 'duplicate'
	| 'malformed'
	| 'conflict'
	| 'invalid-document'
	| 'stale-token'
	| 'stale-claim'
	| 'stopped-host'
	| 'wrong-group'
	| 'unknown-order'
	| 'no-change';

/** The accepted document change that a refused change was not based on. */
export type EditConflict = {
	readonly revision: Revision;
	readonly operator: string;
};

/** Result of applying a record to the control state. It is the same on every host. */
export type ApplyOutcome =
	| {readonly accepted: true; readonly offset: LogOffset}
	| {
			readonly accepted: false;
			readonly offset: LogOffset;
			readonly code: IgnoreCode;
			readonly reason: string;
			/** Set for the code `conflict`, unless no document was accepted yet. */
			readonly conflict?: EditConflict;
	  };

/** Appends records to the control stream and reports whether they were accepted. */
export abstract class ControlLog {
	/**
	 * Appends a record and resolves once this host has applied it to its control state.
	 * After an error the record may still be applied later.
	 */
	abstract submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError>;
}
