import {type ResultAsync} from 'neverthrow';
import {type LogOffset} from '../contracts/ids.js';
import {type LogBatch} from '../contracts/log-service.js';

/** A call to another host failed, or the peer server of this host could not start. */
export class PeerError extends Error {
	override readonly name = 'PeerError';
}

/** Applied records and control states of other hosts, for catch-up during a log outage. */
export abstract class PeerRecordSource {
	/** Resolves with up to `limit` control records from an offset on, from a peer that retains them. */
	abstract records(
		from: LogOffset,
		limit: number,
	): ResultAsync<LogBatch, PeerError>;

	/** Resolves with a control snapshot from a peer that has applied many records. The caller must validate it. */
	abstract snapshot(): ResultAsync<unknown, PeerError>;
}
