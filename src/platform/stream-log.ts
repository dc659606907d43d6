import {
	StreamLog,
	type StorePosition,
	type StoredStreams,
} from '../contracts/shared-store.js';
import {
	decodeStreamRecord,
	encodeStreamRecords,
	type StreamOrigin,
} from '../contracts/stream-origin.js';
import {type StoreClient} from './store-client.js';
import {topics} from './wire.js';

/** Stores the software versions at which streams began in a topic of the platform's store. */
export class PlatformStreamLog extends StreamLog {
	constructor(private readonly store: StoreClient) {
		super();
	}

	append(origins: readonly StreamOrigin[]) {
		return this.store.appendAll(topics.streams, encodeStreamRecords(origins));
	}

	read(from: StorePosition | undefined) {
		return this.store
			.readRetained(topics.streams, from)
			.map(({records, next}): StoredStreams => ({
				origins: records.flatMap(({body}) => decodeStreamRecord(body)),
				next,
			}));
	}
}
