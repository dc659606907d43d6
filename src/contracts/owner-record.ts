import {z} from 'zod';
import {parseJson} from '../base/common/parse-json.js';
import {fingerprintSchema, hostIdSchema} from './ids.js';
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
	suspicions: z.array(suspicionSchema).optional(),
	/** Parsed on its own, because an unreadable report must not hide the record, which decides on the lease. Absent from the records of older builds. */
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

	const {versionReport, ...rest} = parsed.data;
	const {data: report} = versionReportSchema.safeParse(versionReport);
	return report ? {...rest, versionReport: report} : rest;
}
