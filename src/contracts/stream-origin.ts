import {z} from 'zod';
import {parseJson} from '../base/common/parse-json.js';
import {type RequestId, type SoftwareVersion} from './ids.js';

/** Software version at which a stream began. */
export type StreamOrigin = {
	/** Request that brought the first event. */
	readonly stream: RequestId;
	readonly version: SoftwareVersion;
};

/** Streams in one stored record. */
const maximumStreamsOfRecord = 2000;
/** Characters of the ids in one stored record, which keep it far below the largest record of a store. */
const maximumCharactersOfRecord = 100_000;

/** Ids of streams by their software version, beside fields of other forms that later builds may write. */
const recordSchema = z.record(z.string(), z.unknown());
const streamsSchema = z.array(z.string());

/** Returns the records in which streams are stored. */
export function encodeStreamRecords(
	origins: readonly StreamOrigin[],
): string[] {
	const records: Array<Map<string, string[]>> = [];
	let count = 0;
	let characters = 0;
	for (const {stream, version} of origins) {
		let record = records.at(-1);
		if (
			!record ||
			count >= maximumStreamsOfRecord ||
			characters >= maximumCharactersOfRecord
		) {
			record = new Map();
			records.push(record);
			count = 0;
			characters = 0;
		}

		count++;
		characters += stream.length;
		const streams = record.get(version) ?? [];
		streams.push(stream);
		record.set(version, streams);
	}

	return records.map((record) => JSON.stringify(Object.fromEntries(record)));
}

/** Returns the streams of a stored record. An unreadable one, which a later build may have written, tells nothing. */
export function decodeStreamRecord(record: Uint8Array): StreamOrigin[] {
	const {data = {}} = recordSchema.safeParse(parseJson(record));
	return Object.entries(data).flatMap(([version, value]) => {
		const {data: streams = []} = streamsSchema.safeParse(value);
		return streams.map((stream) => ({
			stream: stream as RequestId,
			version: version as SoftwareVersion,
		}));
	});
}
