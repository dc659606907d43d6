import {errAsync, type ResultAsync} from 'neverthrow';
import {
	readOwnerRecords,
	type StoredOwnerRecord,
} from '../contracts/owner-record.js';
import {
	OwnerLog,
	StoreRestoredError,
	type ConditionalAppendOutcome,
	type OwnerRecord,
	type OwnerRecords,
	type SharedStoreError,
	type StorePosition,
} from '../contracts/shared-store.js';
import {generationOf} from '../contracts/store-position.js';
import {type StoreClient} from './store-client.js';
import {topics} from './wire.js';

type StoredOwnerRecords = Omit<OwnerRecords, 'records'> & {
	readonly records: readonly StoredOwnerRecord[];
};

/** Generation of a store that was never restored. */
const firstGeneration = 1;

/** Stores the records of the owner lease in a topic of the platform's store. */
export class PlatformOwnerLog extends OwnerLog {
	constructor(private readonly store: StoreClient) {
		super();
	}

	read(
		from: StorePosition | undefined,
	): ResultAsync<OwnerRecords, SharedStoreError> {
		return this.store
			.readRetained(topics.owner, from)
			.map(({records, next, isTruncated}) => {
				const isFirst = from === undefined;
				const isRestored = isFirst && generationOf(next) > firstGeneration;
				const isWhole = isFirst && !isRestored && !isTruncated;
				return {records, next, isRestored, ...(isFirst ? {isWhole} : {})};
			})
			.orElse((error) =>
				error instanceof StoreRestoredError
					? this.store
							.readRetained(topics.owner, error.earliest)
							.map(({records, next}) => ({records, next, isRestored: true}))
					: errAsync(error),
			)
			.map(({records: stored, isWhole, ...rest}: StoredOwnerRecords) => {
				const read = readOwnerRecords(stored);
				const isKnown = read.records.length === stored.length;
				return {
					...rest,
					...read,
					...(isWhole === undefined ? {} : {isWhole: isWhole && isKnown}),
				};
			});
	}

	append(
		record: OwnerRecord,
		expectedEnd: StorePosition,
	): ResultAsync<ConditionalAppendOutcome, SharedStoreError> {
		return this.store.append(
			topics.owner,
			Buffer.from(JSON.stringify({...record, intendedPosition: expectedEnd})),
			expectedEnd,
		);
	}
}
