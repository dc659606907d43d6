import {z} from 'zod';
import {parseJson} from '../base/common/parse-json.js';
import {fingerprintSchema, hostIdSchema} from './ids.js';
import {
	type OwnerRecords,
	type PositionedOwnerRecord,
	type StorePosition,
} from './shared-store.js';
import {versionReportSchema} from './version-report.js';

const suspicionSchema = z.object({
	fingerprint: fingerprintSchema,
	deaths: z.array(z.object({key: z.string(), ageMilliseconds: z.number()})),
	answeredMillisecondsAgo: z.number().optional(),
	trials: z.number(),
	triedMillisecondsAgo: z.number().optional(),
});

const ownerRecordSchema = z.object({
	kind: z.enum(['claimed', 'renewed', 'released']),
	host: hostIdSchema,
	incarnation: z.string(),
	peerAddress: z.string(),
	sinceLastOrderMilliseconds: z.number().optional(),
	/** Parsed one by one, because an unreadable one must not hide the record, which decides on the lease. */
	suspicions: z.unknown().optional(),
	/** Parsed on its own, as the suspicions are. Absent from the records of older builds. */
	versionReport: z.unknown().optional(),
	/** Position at which the writer meant to append the record. Another one shows that the store was restored since. */
	intendedPosition: z.number().optional(),
});

/** Parses a stored record of the owner lease. Returns undefined for anything else. */
export function parseOwnerRecord(record: Uint8Array) {
	const parsed = ownerRecordSchema.safeParse(parseJson(record));
	if (!parsed.success) {
		return undefined;
	}

	const {versionReport, suspicions, ...rest} = parsed.data;
	const {data: report} = versionReportSchema.safeParse(versionReport);
	return {
		...rest,
		...(Array.isArray(suspicions)
			? {suspicions: suspicions.flatMap((each) => parseSuspicion(each))}
			: {}),
		...(report ? {versionReport: report} : {}),
	};
}

/** Returns the suspicion, or nothing when a later build wrote it in another form. */
function parseSuspicion(suspicion: unknown) {
	const {data} = suspicionSchema.safeParse(suspicion);
	return data ? [data] : [];
}

/** A record of the log of the owner lease as it is stored. */
export type StoredOwnerRecord = {
	readonly position: StorePosition;
	readonly body: Uint8Array;
};

/** Reads stored records. Unreadable ones are left out. */
export function readOwnerRecords(
	stored: readonly StoredOwnerRecord[],
): Pick<OwnerRecords, 'records' | 'isEndUnreadable'> {
	const records = stored.flatMap((each) => toOwnerRecord(each));
	return records.at(-1)?.position === stored.at(-1)?.position
		? {records}
		: {records, isEndUnreadable: true};
}

/** Returns the record, or nothing when it is unreadable. */
function toOwnerRecord({
	position,
	body,
}: StoredOwnerRecord): PositionedOwnerRecord[] {
	const record = parseOwnerRecord(body);
	if (!record) {
		return [];
	}

	const {intendedPosition = position, ...content} = record;
	return [{...content, position, isFromCopy: intendedPosition !== position}];
}
