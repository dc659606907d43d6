import {type ResultAsync} from 'neverthrow';
import {type ControlRecord} from './control-record.js';
import {type LogOffset} from './ids.js';
import {type LogError} from './log-service.js';

/** What the fold of the control stream made of a record. The same on every host. */
export type ApplyOutcome =
	| {readonly accepted: true; readonly offset: LogOffset}
	| {
			readonly accepted: false;
			readonly offset: LogOffset;
			readonly reason: string;
	  };

/** Appends control records and tells whether they were accepted. */
export abstract class ControlLog {
	/**
	 * Appends a record and resolves once this host has folded it.
	 * After an error the record may still be folded later.
	 */
	abstract submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError>;
}
