import {errAsync, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {
	fingerprintSchema,
	hostIdSchema,
	type PoolName,
	type SoftwareVersion,
} from '../contracts/ids.js';
import {
	HistoryTruncatedError,
	OwnerLog,
	StoreRestoredError,
	type ConditionalAppendOutcome,
	type OwnerRecord,
	type OwnerRecords,
	type SharedStoreError,
	type StorePosition,
} from '../contracts/shared-store.js';
import {type StoreClient, type StoreRecords} from './store-client.js';
import {generationOf} from './store-position.js';
import {topics} from './wire.js';

const suspicionSchema = z.object({
	fingerprint: fingerprintSchema,
	deaths: z.array(z.object({key: z.string(), ageMilliseconds: z.number()})),
	answeredMillisecondsAgo: z.number().optional(),
	trials: z.number(),
	triedMillisecondsAgo: z.number().optional(),
});

const versionReportSchema = z.object({
	versions: z.array(
		z.object({
			pool: z.string().transform((name) => name as PoolName),
			version: z.string().transform((name) => name as SoftwareVersion),
			ageMilliseconds: z.number(),
		}),
	),
	reachMilliseconds: z.number(),
});

const recordSchema = z.object({
	kind: z.enum(['claimed', 'renewed', 'released']),
	host: hostIdSchema,
	incarnation: z.string(),
	peerAddress: z.string(),
	sinceLastOrderMilliseconds: z.number().optional(),
	suspicions: z.array(suspicionSchema).optional(),
	/** Parsed on its own, because an unreadable report must not hide the record, which decides on the lease. */
	versionReport: z.unknown(),
	/** Position at which the writer meant to append the record. Another one shows that the store was restored since. */
	intendedPosition: z.number().optional(),
});

type RetainedRecords = StoreRecords & {
	/** True when the store has deleted records at the position. */
	readonly isTruncated: boolean;
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
		return this.readRetained(from)
			.map(({isTruncated, ...result}) => {
				const isRestored =
					from === undefined && generationOf(result.next) > firstGeneration;
				return from === undefined
					? {...result, isRestored, isWhole: !isRestored && !isTruncated}
					: {...result, isRestored};
			})
			.orElse((error) =>
				error instanceof StoreRestoredError
					? this.readRetained(error.earliest).map(
							({isTruncated, ...result}) => ({
								...result,
								isRestored: true,
							}),
						)
					: errAsync(error),
			)
			.map(({records, ...rest}) => ({
				...rest,
				records: records.flatMap(({position, body}) => {
					const parsed = recordSchema.safeParse(parseJson(body));
					if (!parsed.success) {
						return [];
					}

					const {
						intendedPosition = position,
						versionReport,
						...record
					} = parsed.data;
					const isFromCopy = intendedPosition !== position;
					const {data: report} = versionReportSchema.safeParse(versionReport);
					return [
						{
							...record,
							...(report ? {versionReport: report} : {}),
							position,
							isFromCopy,
						},
					];
				}),
			}));
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

	/** Reads from a position on, or from the first retained one if the store has deleted the records at it. */
	private readRetained(
		from: StorePosition | undefined,
	): ResultAsync<RetainedRecords, SharedStoreError> {
		return this.store
			.read(topics.owner, from, 0)
			.map((result) => ({...result, isTruncated: false}))
			.orElse((error) =>
				error instanceof HistoryTruncatedError
					? this.store
							.read(topics.owner, error.earliest, 0)
							.map((result) => ({...result, isTruncated: true}))
					: errAsync(error),
			);
	}
}

function parseJson(body: Buffer): unknown {
	try {
		return JSON.parse(body.toString('utf8'));
	} catch {
		// Undefined fails the schema, so the record is skipped.
		return undefined;
	}
}
