import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';
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
	type EntryRevision,
	type ListedTarget,
	type TargetListChange,
} from '../contracts/listed-target.js';
import {
	TargetListState,
	type SharedStoreError,
	type StoreChanges,
	type StorePosition,
} from '../contracts/shared-store.js';
import {decodeKeyedRecord} from './keyed-record.js';
import {type StoreClient} from './store-client.js';
import {generationOf} from './store-position.js';
import {topics} from './wire.js';

/** Resident models with their adapters, as entries and reports of workers list them. */
export const residentModelsSchema = z.array(
	z.object({
		name: z.string(),
		version: z.number().optional(),
		adapters: z.array(z.string()).default([]),
	}),
);

const entrySchema = z.object({
	service: z.string().min(1),
	/** Of the worker's software, unlike the version of a model. */
	version: z.string().max(128).optional(),
	addr: z.string().regex(/^[\d.]+:\d{1,5}$/),
	zone: z.string(),
	slots: z.number().int().positive(),
	state: z.enum(['ready', 'draining']),
	born: z.number().optional(),
	seq: z.number().optional(),
	models: residentModelsSchema.optional(),
	at_hand: z
		.object({
			in_memory: z.array(z.string()).default([]),
			on_disk: z.array(z.string()).default([]),
		})
		.optional(),
});

/** The count of writes in an entry, which a worker increments about every second. */
const writeCountPattern = /"seq"\s*:\s*(\d+)/;

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
			.map(({records, next}) => {
				// The caller may have received the entries in between from another host.
				if (position !== this.lastNext) {
					this.lastEntries.clear();
				}

				this.lastNext = next;
				return {
					changes: records.flatMap(({body}) => {
						const record = decodeKeyedRecord(body);
						return record ? this.decodeChange(record.key, record.value) : [];
					}),
					next,
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

		const entry = value.toString('utf8');
		const writes = writeCountPattern.exec(entry)?.[1];
		const text = entry.replace(writeCountPattern, '');
		const last = this.lastEntries.get(key);
		if (last?.text === text) {
			return last.startedAt === undefined || writes === undefined
				? []
				: [
						{
							kind: 'renewed',
							target: key as TargetId,
							revision: {startedAt: last.startedAt, writes: Number(writes)},
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

/** Decodes the entry of one worker. Without a value the worker is no longer listed. */
export function decodeEntry(
	key: string,
	value: Buffer | undefined,
): TargetListChange {
	const target = key as TargetId;
	if (!value) {
		return {kind: 'unlisted', target};
	}

	let content: unknown;
	try {
		content = JSON.parse(value.toString('utf8'));
	} catch {
		return {kind: 'malformed', target, reason: 'the entry is not valid JSON'};
	}

	const parsed = entrySchema.safeParse(content);
	return parsed.success
		? {kind: 'listed', target: toTarget(target, parsed.data)}
		: {kind: 'malformed', target, reason: z.prettifyError(parsed.error)};
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

/** Returns the incarnation of a worker. A worker that restarts under its id reports another start time in `born`. */
export function toIncarnation(
	target: TargetId,
	born: number | undefined,
): TargetIncarnation {
	return `${target}@${born ?? 0}` as TargetIncarnation;
}

function toTarget(
	id: TargetId,
	entry: z.infer<typeof entrySchema>,
): ListedTarget {
	return {
		id,
		revision: toRevision(entry),
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

function toRevision({
	born,
	seq,
}: z.infer<typeof entrySchema>): EntryRevision | undefined {
	return isCount(born) && isCount(seq)
		? {startedAt: born, writes: seq}
		: undefined;
}

function isCount(value: number | undefined): value is number {
	return Number.isSafeInteger(value) && value! >= 0;
}
