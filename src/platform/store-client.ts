import {Pool} from 'undici';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {Disposable} from '../base/common/disposable.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {
	HistoryTruncatedError,
	SharedStoreError,
	type StorePosition,
} from '../contracts/shared-store.js';
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

/** Outcome of an append on the condition that the topic ends at an expected position. */
export type AppendOutcome =
	| {readonly kind: 'appended'; readonly position: StorePosition}
	/** The topic ends at another position, which is returned. */
	| {readonly kind: 'conflict'; readonly next: StorePosition};

/** Options of the store client. */
export type StoreClientOptions = {
	/** `host:port` of the store. */
	readonly address: string;
	/** Longest wait for a response, in addition to the time that a read waits for records. The default is 800 ms. */
	readonly timeoutMilliseconds?: number;
};

type StoreResponse = {readonly status: number; readonly body: Buffer};

/** Connections for two long polls, the periodic read and one further call at the same time. */
const connectionCount = 4;
/** The store usually responds within a few milliseconds, and within 300 ms when it is slow. */
const defaultTimeoutMilliseconds = 800;
/** Size of the length field before each record. */
const lengthBytes = 4;
/** Size of each of the two positions at the start of the response to a read. */
const positionBytes = 8;

const newestResponseSchema = z.object({
	items: z.array(
		z.object({key: z.string(), value: z.string(), offset: z.number()}),
	),
	more: z.boolean(),
	end: z.number(),
});
const appendResponseSchema = z.object({offset: z.number()});
const truncatedResponseSchema = z.object({first: z.number()});
const conflictResponseSchema = z.object({end: z.number()});

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
	 * Reads the records of a topic from a position on. Waits up to `waitMilliseconds` when there are none yet. Fails with
	 * `HistoryTruncatedError` when the records at the position were deleted.
	 */
	read(
		topic: string,
		from: StorePosition,
		waitMilliseconds: number,
	): ResultAsync<StoreRecords, SharedStoreError> {
		const query = new URLSearchParams({topic, part: '0', from: String(from)});
		if (waitMilliseconds > 0) {
			query.set('wait_ms', String(waitMilliseconds));
		}

		return this.call(
			'GET',
			`${paths.logRead}?${query.toString()}`,
			undefined,
			waitMilliseconds,
		).andThen(({status, body}) => {
			if (status === 410) {
				return parse('read', () =>
					truncatedResponseSchema.parse(parseJson(body)),
				).andThen(({first}) => errAsync(new HistoryTruncatedError(first)));
			}

			// A topic does not exist until its first record is appended.
			if (status === 404) {
				return okAsync({records: [], next: from});
			}

			return status === 200
				? parse('read', () => parseRecords(body, from))
				: errAsync(unexpectedStatus('read', status));
		});
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
	): ResultAsync<AppendOutcome, SharedStoreError> {
		const query = new URLSearchParams({
			topic,
			part: '0',
			as_of: String(expectedEnd),
		});
		const framed = Buffer.alloc(lengthBytes + body.length);
		framed.writeUInt32BE(body.length);
		body.copy(framed, lengthBytes);
		return this.call(
			'POST',
			`${paths.logAppend}?${query.toString()}`,
			framed,
			0,
		).andThen((response) => {
			if (response.status === 200) {
				return parse('append', () => ({
					kind: 'appended' as const,
					position: appendResponseSchema.parse(parseJson(response.body)).offset,
				}));
			}

			return response.status === 412
				? parse('append', () => ({
						kind: 'conflict' as const,
						next: conflictResponseSchema.parse(parseJson(response.body)).end,
					}))
				: errAsync(unexpectedStatus('append', response.status));
		});
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
		).andThen(({status, body}) => {
			if (status !== 200) {
				return errAsync(unexpectedStatus('read of the newest records', status));
			}

			return parse('read of the newest records', () =>
				newestResponseSchema.parse(parseJson(body)),
			).andThen(({items, more, end}) => {
				const records = [
					...previous,
					...items.map(({key, value, offset}) => ({
						key,
						value: Buffer.from(value, 'base64'),
						position: offset,
					})),
				];
				// Pages are not a consistent snapshot, so later reads start at the end position of the first page and cover every change since.
				const next = firstEnd ?? end;
				return more && items.length > 0
					? this.readPages(topic, items.at(-1)!.key, records, next)
					: okAsync({records, next});
			});
		});
	}

	private observeGeneration(header: string | string[] | undefined): void {
		const generation = parseGeneration(header);
		if (this.generation === undefined || generation > this.generation) {
			this.generation = generation;
			this.generationChanged.publish(generation);
		}
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
				const responseBody = Buffer.from(await response.body.arrayBuffer());
				this.observeGeneration(
					response.headers[headerNames.storeGeneration.toLowerCase()],
				);
				return {status: response.statusCode, body: responseBody};
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
	try {
		return okAsync(read());
	} catch (error) {
		return errAsync(
			new SharedStoreError(
				'unknown',
				`the response of the store to ${call} is malformed`,
				{
					cause: error,
				},
			),
		);
	}
}

/** A store that was never restored may name no generation. */
function parseGeneration(header: string | string[] | undefined): number {
	return typeof header === 'string' && /^\d{1,15}$/.test(header)
		? Number(header)
		: 0;
}

function parseJson(body: Buffer): unknown {
	return JSON.parse(body.toString('utf8'));
}

/** Parses the response to a read: the end of the topic, the first retained position, then each record after its length. All numbers are big-endian. */
function parseRecords(body: Buffer, from: StorePosition): StoreRecords {
	const records: StoreRecord[] = [];
	let index = positionBytes * 2;
	let position = from;
	while (index + lengthBytes <= body.length) {
		const length = body.readUInt32BE(index);
		index += lengthBytes;
		records.push({position, body: body.subarray(index, index + length)});
		index += length;
		position += 1;
	}

	return {records, next: position};
}
