import {Pool} from 'undici';
import {errAsync, fromThrowable, okAsync, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {Disposable} from '../base/common/disposable.js';
import {
	frameRecord,
	splitFramedRecords,
} from '../base/common/framed-records.js';
import {parseJson} from '../base/common/parse-json.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {readBody} from '../base/node/read-body.js';
import {
	HistoryTruncatedError,
	SharedStoreError,
	StoreRestoredError,
	type ConditionalAppendOutcome,
	type StorePosition,
} from '../contracts/shared-store.js';
import {
	generationOf,
	maximumGeneration,
	maximumOffset,
	offsetOf,
	toPosition,
} from '../contracts/store-position.js';
import {headerNames, paths} from './wire.js';

/** One record of a topic. */
export type StoreRecord = {
	readonly position: StorePosition;
	readonly body: Buffer;
};

/** Records of one read, and the position after the last of them. */
export type StoreRecords = {
	readonly records: readonly StoreRecord[];
	readonly next: StorePosition;
	/** True when the topic has further records after these. */
	readonly isPartial?: true;
};

/** The newest record of a key. */
export type KeyedRecord = {
	readonly key: string;
	readonly value: Buffer;
	readonly position: StorePosition;
};

/** The newest records of all keys of a topic, and the position from which later records are read. */
export type KeyedRecords = {
	readonly records: readonly KeyedRecord[];
	readonly next: StorePosition;
};

/** Options of the store client. */
export type StoreClientOptions = {
	/** `host:port` of the store. */
	readonly address: string;
	/** Longest wait for a response, in addition to the time that a read waits for records. The default is 800 ms. */
	readonly timeoutMilliseconds?: number;
};

type StoreResponse = {
	readonly status: number;
	readonly body: Buffer;
	/** Generation of the store that sent the response. */
	readonly generation: number;
};

/** Connections for two long polls, the periodic read and one further call at the same time. */
const connectionCount = 4;
/** The store usually responds within a few milliseconds, and within 300 ms when it is slow. */
const defaultTimeoutMilliseconds = 800;
/** Far more than a page of the store, so that a large entry of another writer hides no other. */
const maximumResponseBytes = 16_777_216;
/** Size of each of the two positions at the start of the response to a read. */
const positionBytes = 8;

const offsetSchema = z.number().int().nonnegative().max(maximumOffset);
const newestResponseSchema = z.object({
	items: z.array(
		z.object({key: z.string(), value: z.string(), offset: offsetSchema}),
	),
	more: z.boolean(),
	end: offsetSchema,
});
const appendResponseSchema = z.object({offset: offsetSchema});
const truncatedResponseSchema = z.object({first: offsetSchema});
const conflictResponseSchema = z.object({end: offsetSchema});

/** The client of the platform's store, which all adapters share. */
export class StoreClient extends Disposable {
	/** A response named a higher generation of the store than any before. Published with that generation. */
	readonly generationChanged = new TypedEvent<number>();
	private readonly pool: Pool;
	private generation: number | undefined;
	private readonly timeoutMilliseconds: number;

	constructor(options: StoreClientOptions) {
		super();
		this.timeoutMilliseconds =
			options.timeoutMilliseconds ?? defaultTimeoutMilliseconds;
		this.pool = new Pool(`http://${options.address}`, {
			connections: connectionCount,
			pipelining: 1,
			connect: {timeout: this.timeoutMilliseconds},
		});
	}

	/**
	 * Reads the records of a topic from a position on, or from the start of its log when it is undefined. Waits up to
	 * `waitMilliseconds` when there are none yet. Fails with `HistoryTruncatedError` when the records at the position were
	 * deleted, and with `StoreRestoredError` when the store was restored since the position was read.
	 */
	read(
		topic: string,
		from: StorePosition | undefined,
		waitMilliseconds: number,
	): ResultAsync<StoreRecords, SharedStoreError> {
		const query = new URLSearchParams({
			topic,
			part: '0',
			from: String(offsetOf(from ?? 0)),
		});
		if (waitMilliseconds > 0) {
			query.set('wait_ms', String(waitMilliseconds));
		}

		return this.call(
			'GET',
			`${paths.logRead}?${query.toString()}`,
			undefined,
			waitMilliseconds,
		).andThen(({status, body, generation}) => {
			if (status !== 200 && status !== 404 && status !== 410) {
				return errAsync(unexpectedStatus('read', status));
			}

			const start = from ?? toPosition(generation, 0);
			if (generation !== generationOf(start)) {
				return errAsync(new StoreRestoredError(toPosition(generation, 0)));
			}

			if (status === 410) {
				return parse('read', () =>
					truncatedResponseSchema.parse(parseJson(body)),
				).andThen(({first}) =>
					errAsync(new HistoryTruncatedError(toPosition(generation, first))),
				);
			}

			// A topic does not exist until its first record is appended.
			return status === 404
				? okAsync({records: [], next: start})
				: parse('read', () => parseRecords(body, start)).andThen((records) =>
						records instanceof HistoryTruncatedError
							? errAsync(records)
							: okAsync(records),
					);
		});
	}

	/** Reads without a wait, from the first retained record on if the store has deleted those at the position. */
	readRetained(
		topic: string,
		from: StorePosition | undefined,
	): ResultAsync<StoreRecords & {isTruncated?: true}, SharedStoreError> {
		return this.read(topic, from, 0).orElse((error) =>
			error instanceof HistoryTruncatedError
				? this.read(topic, error.earliest, 0).map((result) => ({
						...result,
						isTruncated: true as const,
					}))
				: errAsync(error),
		);
	}

	/** Reads the newest record of each key of a topic. */
	readNewest(topic: string): ResultAsync<KeyedRecords, SharedStoreError> {
		return this.readPages(topic, undefined, [], undefined);
	}

	/** Appends a record to a topic if the topic still ends at the expected position. */
	append(
		topic: string,
		body: Buffer,
		expectedEnd: StorePosition,
	): ResultAsync<ConditionalAppendOutcome, SharedStoreError> {
		const query = new URLSearchParams({
			topic,
			part: '0',
			as_of: String(offsetOf(expectedEnd)),
		});
		return this.call(
			'POST',
			`${paths.logAppend}?${query.toString()}`,
			frameRecord(body),
			0,
		).andThen(({status, body: responseBody, generation}) => {
			const isRestored = generation !== generationOf(expectedEnd);
			if (status === 200) {
				return parse('append', () => {
					const {offset} = appendResponseSchema.parse(parseJson(responseBody));
					const position = toPosition(generation, offset);
					// A restored log can end at the expected offset by chance, after other records than the expected ones.
					return isRestored
						? {kind: 'conflict' as const, next: position, isRestored}
						: {kind: 'appended' as const, position};
				});
			}

			return status === 412
				? parse('append', () => ({
						kind: 'conflict' as const,
						next: toPosition(
							generation,
							conflictResponseSchema.parse(parseJson(responseBody)).end,
						),
						isRestored,
					}))
				: errAsync(unexpectedStatus('append', status));
		});
	}

	/** Appends records to a topic, wherever it ends. All or none of them are appended. */
	appendAll(
		topic: string,
		bodies: readonly string[],
	): ResultAsync<void, SharedStoreError> {
		const query = new URLSearchParams({topic, part: '0'});
		return this.call(
			'POST',
			`${paths.logAppend}?${query.toString()}`,
			Buffer.concat(bodies.map((body) => frameRecord(Buffer.from(body)))),
			0,
		).andThen(({status}) =>
			status === 200
				? okAsync(undefined)
				: errAsync(unexpectedStatus('append', status)),
		);
	}

	/** Closes all connections. Calls in progress fail. */
	async dispose(): Promise<void> {
		await this.pool.destroy();
	}

	/** Reads the pages after the key `after`, and returns their records behind `previous`, those of earlier pages. */
	private readPages(
		topic: string,
		after: string | undefined,
		previous: readonly KeyedRecord[],
		firstEnd: StorePosition | undefined,
	): ResultAsync<KeyedRecords, SharedStoreError> {
		const query = new URLSearchParams({topic, part: '0'});
		if (after !== undefined) {
			query.set('after', after);
		}

		return this.call(
			'GET',
			`${paths.logNewest}?${query.toString()}`,
			undefined,
			0,
		).andThen(({status, body, generation}) => {
			if (status !== 200) {
				return errAsync(unexpectedStatus('read of the newest records', status));
			}

			if (firstEnd !== undefined && generation !== generationOf(firstEnd)) {
				return errAsync(new StoreRestoredError(toPosition(generation, 0)));
			}

			return parse('read of the newest records', () =>
				newestResponseSchema.parse(parseJson(body)),
			).andThen(({items, more, end}) => {
				const records = [
					...previous,
					...items.map(({key, value, offset}) => ({
						key,
						value: Buffer.from(value, 'base64'),
						position: toPosition(generation, offset),
					})),
				];
				// Pages are not a consistent snapshot, so later reads start at the end position of the first page and cover every change since.
				const next = firstEnd ?? toPosition(generation, end);
				return more && items.length > 0
					? this.readPages(topic, items.at(-1)!.key, records, next)
					: okAsync({records, next});
			});
		});
	}

	/** Returns the generation that a response names, and records the highest one. A response that names none is of the generation that is known. */
	private observeGeneration(header: string | string[] | undefined): number {
		const generation = parseGeneration(header) ?? this.generation ?? 0;
		if (this.generation === undefined || generation > this.generation) {
			this.generation = generation;
			this.generationChanged.publish(generation);
		}

		return generation;
	}

	private call(
		method: 'GET' | 'POST',
		path: string,
		body: Buffer | undefined,
		waitMilliseconds: number,
	): ResultAsync<StoreResponse, SharedStoreError> {
		const controller = new AbortController();
		// After a lost response the connection is unresponsive. The abort closes it too.
		const timer = setTimeout(() => {
			controller.abort();
		}, waitMilliseconds + this.timeoutMilliseconds);
		const send = async (): Promise<StoreResponse> => {
			try {
				const response = await this.pool.request({
					method,
					path,
					body: body ?? null,
					signal: controller.signal,
				});
				const generation = this.observeGeneration(
					response.headers[headerNames.storeGeneration.toLowerCase()],
				);
				const responseBody = await readBody(
					response.body,
					maximumResponseBytes,
				);
				if (generation !== this.generation) {
					throw new Error('the store was restored after it sent the response');
				}

				return {status: response.statusCode, body: responseBody, generation};
			} finally {
				clearTimeout(timer);
			}
		};

		return ResultAsync.fromPromise(
			send(),
			(cause) =>
				new SharedStoreError(
					'unknown',
					`the store did not respond to ${method} ${path}`,
					{cause},
				),
		);
	}
}

/** A status of 429 or 503 guarantees that the store did not carry out the call. */
function unexpectedStatus(call: string, status: number): SharedStoreError {
	return new SharedStoreError(
		status === 503 || status === 429 ? 'not-done' : 'unknown',
		`the store responded to ${call} with the unexpected status ${status}`,
	);
}

/** Returns the result of `read`, or an error if it throws. */
function parse<T>(
	call: string,
	read: () => T,
): ResultAsync<T, SharedStoreError> {
	const reason = `the response of the store to ${call} is malformed`;
	return fromThrowable(
		read,
		(cause) => new SharedStoreError('unknown', reason, {cause}),
	)().asyncMap(async (value) => value);
}

function parseGeneration(
	header: string | string[] | undefined,
): number | undefined {
	return typeof header === 'string' &&
		/^\d{1,15}$/.test(header) &&
		Number(header) <= maximumGeneration
		? Number(header)
		: undefined;
}

/** Parses the response to a read: the end of the topic, the first retained offset, then each record after its length. All numbers are big-endian. A topic that ends before the position has lost records. */
function parseRecords(
	body: Buffer,
	from: StorePosition,
): StoreRecords | HistoryTruncatedError {
	if (Number(body.readBigUInt64BE(0)) < offsetOf(from)) {
		const first = Number(body.readBigUInt64BE(positionBytes));
		return new HistoryTruncatedError(toPosition(generationOf(from), first));
	}

	const records = splitFramedRecords(body, positionBytes * 2).map(
		(record, index) => ({position: from + index, body: record}),
	);
	const end = Number(body.readBigUInt64BE(0));
	const next = from + records.length;
	return offsetOf(next) < end
		? {records, next, isPartial: true}
		: {records, next};
}
