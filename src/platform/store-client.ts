import {Pool} from 'undici';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {Disposable} from '../base/common/disposable.js';
import {
	HistoryTruncatedError,
	SharedStoreError,
	type StorePosition,
} from '../contracts/shared-store.js';
import {paths} from './wire.js';

/** One record of a topic. */
export type StoreRecord = {
	readonly position: StorePosition;
	readonly body: Buffer;
};

/** Records that one read returned, and the position after them. */
export type StoreRecords = {
	readonly records: readonly StoreRecord[];
	readonly next: StorePosition;
};

/** Newest record of a key. */
export type KeyedRecord = {
	readonly key: string;
	readonly value: Buffer;
	readonly position: StorePosition;
};

/** Newest records of all keys of a topic, and the position from which later ones are read. */
export type KeyedRecords = {
	readonly records: readonly KeyedRecord[];
	readonly next: StorePosition;
};

/** Outcome of an append that names the end that it expects. */
export type AppendOutcome =
	| {readonly kind: 'appended'; readonly position: StorePosition}
	| {readonly kind: 'conflict'; readonly next: StorePosition};

/** Options of the client. */
export type StoreClientOptions = {
	/** `host:port` of the store. */
	readonly address: string;
	/** Time for an answer besides the time that a read waits. */
	readonly timeoutMilliseconds?: number;
};

type Answer = {readonly status: number; readonly body: Buffer};

/** Two long polls, the periodic read, and a write or a read beside them. */
const connectionCount = 4;
/** The store answers within milliseconds, and within 300 when it is slow. */
const defaultTimeoutMilliseconds = 800;
const lengthBytes = 4;
const positionBytes = 8;

const newestSchema = z.object({
	items: z.array(
		z.object({key: z.string(), value: z.string(), offset: z.number()}),
	),
	more: z.boolean(),
	end: z.number(),
});
const appendedSchema = z.object({offset: z.number()});
const firstSchema = z.object({first: z.number()});
const conflictSchema = z.object({end: z.number()});

/** The one client of the platform's store. */
export class StoreClient extends Disposable {
	private readonly pool: Pool;
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

	/** Reads the records of a topic from a position and waits for the first one at most the given time. */
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
				return parse('read', () => firstSchema.parse(toJson(body))).andThen(
					({first}) => errAsync(new HistoryTruncatedError(first)),
				);
			}

			// A topic is created by its first record.
			if (status === 404) {
				return okAsync({records: [], next: from});
			}

			return status === 200
				? parse('read', () => splitRecords(body, from))
				: errAsync(unexpected('read', status));
		});
	}

	/** Reads the newest record of each key of a topic. */
	readNewest(topic: string): ResultAsync<KeyedRecords, SharedStoreError> {
		return this.readPages(topic, undefined, [], undefined);
	}

	/** Appends a record to a topic if the topic ends at the given position. */
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
		).andThen((answer) => {
			if (answer.status === 200) {
				return parse('append', () => ({
					kind: 'appended' as const,
					position: appendedSchema.parse(toJson(answer.body)).offset,
				}));
			}

			return answer.status === 412
				? parse('append', () => ({
						kind: 'conflict' as const,
						next: conflictSchema.parse(toJson(answer.body)).end,
					}))
				: errAsync(unexpected('append', answer.status));
		});
	}

	async dispose(): Promise<void> {
		await this.pool.destroy();
	}

	private readPages(
		topic: string,
		after: string | undefined,
		before: readonly KeyedRecord[],
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
				return errAsync(unexpected('read of the newest records', status));
			}

			return parse('newest', () => newestSchema.parse(toJson(body))).andThen(
				({items, more, end}) => {
					const records = [
						...before,
						...items.map(({key, value, offset}) => ({
							key,
							value: Buffer.from(value, 'base64'),
							position: offset,
						})),
					];
					// Pages are no snapshot: what changed since the first page is read again from its end.
					const next = firstEnd ?? end;
					return more && items.length > 0
						? this.readPages(topic, items.at(-1)!.key, records, next)
						: okAsync({records, next});
				},
			);
		});
	}

	private call(
		method: 'GET' | 'POST',
		path: string,
		body: Buffer | undefined,
		waitMilliseconds: number,
	): ResultAsync<Answer, SharedStoreError> {
		const abort = new AbortController();
		// A lost answer leaves its connection silent; the abort also closes it.
		const timer = setTimeout(() => {
			abort.abort();
		}, waitMilliseconds + this.timeoutMilliseconds);
		const run = async (): Promise<Answer> => {
			try {
				const response = await this.pool.request({
					method,
					path,
					body: body ?? null,
					signal: abort.signal,
				});
				return {
					status: response.statusCode,
					body: Buffer.from(await response.body.arrayBuffer()),
				};
			} finally {
				clearTimeout(timer);
			}
		};

		return ResultAsync.fromPromise(
			run(),
			(cause) =>
				new SharedStoreError(
					'unknown',
					`the store did not answer ${method} ${path}`,
					{cause},
				),
		);
	}
}

function unexpected(call: string, status: number): SharedStoreError {
	return new SharedStoreError(
		status === 503 || status === 429 ? 'not-done' : 'unknown',
		`the store answered ${call} with status ${status}`,
	);
}

function parse<T>(
	call: string,
	read: () => T,
): ResultAsync<T, SharedStoreError> {
	try {
		return okAsync(read());
	} catch (error) {
		return errAsync(
			new SharedStoreError('unknown', `the answer to ${call} is malformed`, {
				cause: error,
			}),
		);
	}
}

function toJson(body: Buffer): unknown {
	return JSON.parse(body.toString('utf8'));
}

/** Splits the answer to a read: the end, the first retained position, then records with their lengths. */
function splitRecords(body: Buffer, from: StorePosition): StoreRecords {
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
