import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {
	boundedList,
	decodeJson,
	nameSchema,
} from '../contracts/bounded-json.js';
import {
	toEntryRevision,
	toIncarnation,
	toTargetCount,
} from '../contracts/entry-revision.js';
import {
	type AdapterId,
	type FailureDomain,
	type ModelId,
	type PoolName,
	type SoftwareVersion,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {
	type ListedTarget,
	type TargetListChange,
} from '../contracts/listed-target.js';
import {
	TargetListState,
	type SharedStoreError,
	type StoreChanges,
	type StorePosition,
} from '../contracts/shared-store.js';
import {isTargetAddress} from '../contracts/target-address.js';
import {generationOf} from '../contracts/store-position.js';
import {decodeKeyedRecord} from './keyed-record.js';
import {type StoreClient} from './store-client.js';
import {topics} from './wire.js';

/** Size of an entry. The names of all models and adapters of a worker take a few kilobytes; the check of a larger one would block the event loop. */
const maximumEntryBytes = 262_144;
/** Requests that a worker can run at once. Reports between hosts carry 32 bits. */
const maximumSlots = 1_000_000;
/** Ids of workers are sent in headers. */
const targetIdPattern = /^[\u0021-\u007E]+$/;

/** Resident models with their adapters, as entries and reports of workers list them. */
export const residentModelsSchema = boundedList(
	z.object({
		name: nameSchema,
		version: z.number().optional(),
		adapters: boundedList(nameSchema).default([]),
	}),
);

const entrySchema = z.object({
	service: nameSchema.min(1),
	/** Of the worker's software, unlike the version of a model. */
	version: z.string().max(128).optional(),
	addr: z
		.string()
		.refine(isTargetAddress, 'expected an IPv4 address and a port'),
	zone: nameSchema,
	slots: z.number().int().positive().max(maximumSlots),
	state: z.enum(['ready', 'draining']),
	born: z.number().optional(),
	seq: z.number().optional(),
	models: residentModelsSchema.optional(),
	at_hand: z
		.object({
			in_memory: boundedList(nameSchema).default([]),
			on_disk: boundedList(nameSchema).default([]),
		})
		.optional(),
});

/** The count of writes in an entry, which a worker increments about every second. */
const writeCountPattern = /"seq"\s*:\s*(0|[1-9]\d{0,14})(?=\s*[,}])/;

/** The last entry of a worker. */
type LastEntry = {
	/** Its text without the count of writes. */
	readonly text: string;
	readonly startedAt: number | undefined;
};

/** Reads the list of targets from the workers' entries in the platform's store. */
export class PlatformTargetListState extends TargetListState {
	private readonly lastEntries = new Map<string, LastEntry>();
	private lastNext: StorePosition | undefined;

	constructor(private readonly store: StoreClient) {
		super();
	}

	readNewest(): ResultAsync<StoreChanges<TargetListChange>, SharedStoreError> {
		return this.store.readNewest(topics.targets).map(({records, next}) => {
			const isRestored =
				this.lastNext !== undefined &&
				generationOf(next) > generationOf(this.lastNext);
			this.lastEntries.clear();
			this.lastNext = next;
			const changes = records.flatMap(({key, value}) =>
				this.decodeChange(key, value),
			);
			// The caller ignores entries of a copy that are outdated, so the next write of each worker has to be complete.
			if (isRestored) {
				this.lastEntries.clear();
			}

			return {changes, next};
		});
	}

	readSince(
		position: StorePosition,
		waitMilliseconds: number,
	): ResultAsync<StoreChanges<TargetListChange>, SharedStoreError> {
		return this.store
			.read(topics.targets, position, waitMilliseconds)
			.map(({records, ...rest}) => {
				// The caller may have received the entries in between from another host.
				if (position !== this.lastNext) {
					this.lastEntries.clear();
				}

				this.lastNext = rest.next;
				return {
					changes: records.flatMap(({body}) => {
						const record = decodeKeyedRecord(body);
						return record
							? this.decodeChange(record.key, record.value)
							: [decodeEntry('', body)];
					}),
					...rest,
				};
			});
	}

	/** Decodes an entry, or only its count of writes if nothing else has changed. Parsing every entry of a large fleet would take most of the processor time of a host without requests. */
	private decodeChange(
		key: string,
		value: Buffer | undefined,
	): TargetListChange[] {
		if (!value) {
			this.lastEntries.delete(key);
			return [decodeEntry(key, value)];
		}

		if (value.length > maximumEntryBytes) {
			this.lastEntries.delete(key);
			return [decodeEntry(key, value)];
		}

		const entry = value.toString('utf8');
		const writes = countedWrites(entry);
		const text =
			writes === undefined ? entry : entry.replace(writeCountPattern, '');
		const last = this.lastEntries.get(key);
		if (last?.text === text) {
			return last.startedAt === undefined || writes === undefined
				? []
				: [
						{
							kind: 'renewed',
							target: key as TargetId,
							revision: {startedAt: last.startedAt, writes},
						},
					];
		}

		const change = decodeEntry(key, value);
		const startedAt =
			change.kind === 'listed' ? change.target.revision?.startedAt : undefined;
		this.lastEntries.set(key, {text, startedAt});
		return [change];
	}
}

/** Returns the count of writes in the text of an entry, if it is plausible and no other field could be meant. */
function countedWrites(entry: string): number | undefined {
	return entry.indexOf('"seq"') === entry.lastIndexOf('"seq"')
		? toTargetCount(writeCountPattern.exec(entry)?.[1])
		: undefined;
}

/** Decodes the entry of one worker. Without a value the worker is no longer listed. */
export function decodeEntry(
	key: string,
	value: Buffer | undefined,
): TargetListChange {
	const target = key as TargetId;
	if (!value) {
		return {kind: 'unlisted', target};
	}

	if (!targetIdPattern.test(key)) {
		return {kind: 'malformed', target, reason: 'the key is no id of a worker'};
	}

	return decodeJson(
		value,
		entrySchema,
		maximumEntryBytes,
	).match<TargetListChange>(
		(entry) => ({kind: 'listed', target: toTarget(target, entry)}),
		(reason) => ({kind: 'malformed', target, reason}),
	);
}

/** Converts the models of an entry or report to those of the product. */
export function toResidentModels(
	models: z.infer<typeof residentModelsSchema> | undefined,
): ListedTarget['residency']['models'] {
	return (models ?? []).map(({name, adapters}) => ({
		model: name as ModelId,
		adapters: adapters as AdapterId[],
	}));
}

function toTarget(
	id: TargetId,
	entry: z.infer<typeof entrySchema>,
): ListedTarget {
	return {
		id,
		revision: toEntryRevision(entry.born, entry.seq),
		pool: entry.service as PoolName,
		softwareVersion:
			entry.version === '' ? undefined : (entry.version as SoftwareVersion),
		address: entry.addr,
		failureDomain: entry.zone as FailureDomain,
		slots: entry.slots,
		isLeaving: entry.state === 'draining',
		residency: {
			incarnation: toIncarnation(id, entry.born),
			models: toResidentModels(entry.models),
		},
		localWeights: {
			inMemory: (entry.at_hand?.in_memory ?? []) as ModelId[],
			onDisk: (entry.at_hand?.on_disk ?? []) as ModelId[],
		},
	};
}
