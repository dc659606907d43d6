import {type ResultAsync} from 'neverthrow';
import {type ClaimRecord} from '../../contracts/claim-record.js';
import {type LogError} from '../../contracts/log-service.js';
import {type RecordAppender} from '../record-appender.js';
import {ClaimAppender} from './claim-manager.js';

/** Appends claim records through the batching appender of the stream `claims`. */
export class LogClaimAppender extends ClaimAppender {
	constructor(private readonly appender: RecordAppender) {
		super();
	}

	append(record: ClaimRecord): ResultAsync<void, LogError> {
		return this.appender
			.append({id: this.appender.createRecordId(), body: record})
			.map(() => undefined);
	}
}
