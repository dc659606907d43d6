import {type ResultAsync} from 'neverthrow';
import {type ControlRecord} from './control-record.js';
import {type LogOffset, type Revision} from './ids.js';
import {type LogError} from './log-service.js';

/** Why the fold ignored a record. */
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

/** The accepted edit that a refused edit did not take into account. */
export type EditConflict = {
	readonly revision: Revision;
	readonly operator: string;
};

/** What the fold of the control stream made of a record. The same on every host. */
export type ApplyOutcome =
	| {readonly accepted: true; readonly offset: LogOffset}
	| {
			readonly accepted: false;
			readonly offset: LogOffset;
			readonly code: IgnoreCode;
			readonly reason: string;
			/** Set for the code `conflict` once a document was accepted. */
			readonly conflict?: EditConflict;
	  };

/** Appends control records and tells whether they were accepted. */
export abstract class ControlLog {
	/**
	 * Appends a record and resolves once this host has folded it.
	 * After an error the record may still be folded later.
	 */
	abstract submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError>;
}
