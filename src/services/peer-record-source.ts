import {type ResultAsync} from 'neverthrow';
import {type LogOffset} from '../contracts/ids.js';
import {type LogBatch} from '../contracts/log-service.js';

/** A call to another host failed. */
export class PeerError extends Error {
	override readonly name = 'PeerError';
}

/** Folded records and state of other hosts, for catch-up during a log outage. */
export abstract class PeerRecordSource {
	/** Returns control records from an offset on, from a peer that keeps them. */
	abstract records(
		from: LogOffset,
		limit: number,
	): ResultAsync<LogBatch, PeerError>;

	/** Returns the newest control snapshot that a peer has. */
	abstract snapshot(): ResultAsync<unknown, PeerError>;
}
