import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** How the parts of a streamed answer are told apart. */
export type StreamFormat = 'server-sent-events' | 'json-lines';

/** One request of a load. */
export type LoadRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Set for an answer that arrives in parts. */
	readonly stream?: StreamFormat;
};

/** Shape of a load. */
export type LoadOptions = {
	readonly address: string;
	readonly connections: number;
	/** Requests per second, sent at their times whether or not earlier ones were answered. Without it each connection sends its next request after the answer to the one before. */
	readonly requestsPerSecond?: number;
	readonly durationMilliseconds: number;
	readonly warmUpMilliseconds: number;
	/** Bound on the requests of the whole run. */
	readonly maximumRequests?: number;
	/** Makes the request with a number, counted from 1. */
	readonly request: (sequence: number) => LoadRequest;
};

/** What a load run measured. Latencies are in microseconds and of whole answers only. */
export type LoadResult = {
	readonly requests: number;
	/** Answers with an error status or without their end. */
	readonly failures: number;
	readonly failuresByCode: ReadonlyMap<string, number>;
	readonly requestsPerSecond: number;
	readonly latency: Histogram;
	/** Of streamed answers: time to the first part with a token. */
	readonly firstToken: Histogram;
	/** Of streamed answers: mean time between tokens of an answer. */
	readonly betweenTokens: Histogram;
	readonly firstFailure: string | undefined;
};

const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 60_000_000;

type Answer = {
	readonly failure?: {readonly code: string; readonly text: string};
	readonly firstTokenAt?: number;
	readonly lastTokenAt?: number;
	readonly tokens: number;
};

/** Sends a load and measures the time to the end of each answer. */
export async function generateLoad(options: LoadOptions): Promise<LoadResult> {
	const pool = new Pool(options.address, {
		connections: options.connections,
		pipelining: 1,
	});
	const run = new LoadRun(pool, options);
	await run.finished();
	await pool.close();
	return run.result();
}

class LoadRun {
	private readonly latency = microsecondHistogram();
	private readonly firstToken = microsecondHistogram();
	private readonly betweenTokens = microsecondHistogram();
	private readonly failuresByCode = new Map<string, number>();
	private readonly started = performance.now();
	private readonly measuredFrom: number;
	private readonly end: number;
	private sequence = 0;
	private requests = 0;
	private failures = 0;
	private seconds = 0;
	private firstFailure: string | undefined;

	constructor(
		private readonly pool: Pool,
		private readonly options: LoadOptions,
	) {
		this.measuredFrom = this.started + options.warmUpMilliseconds;
		this.end = this.measuredFrom + options.durationMilliseconds;
	}

	async finished(): Promise<void> {
		await (this.options.requestsPerSecond === undefined
			? this.sendInTurn()
			: this.sendAtTimes(this.options.requestsPerSecond));
		this.seconds = (performance.now() - this.measuredFrom) / 1000;
	}

	result(): LoadResult {
		const {latency, firstToken, betweenTokens} = this;
		return {
			requests: this.requests,
			failures: this.failures,
			failuresByCode: this.failuresByCode,
			requestsPerSecond: this.requests / this.seconds,
			latency,
			firstToken,
			betweenTokens,
			firstFailure: this.firstFailure,
		};
	}

	private get mayContinue(): boolean {
		return (
			performance.now() < this.end &&
			this.sequence < (this.options.maximumRequests ?? Infinity)
		);
	}

	private async sendInTurn(): Promise<void> {
		const worker = async () => {
			while (this.mayContinue) {
				await this.sendOne(performance.now());
			}
		};

		await Promise.all(
			Array.from({length: this.options.connections}, async () => worker()),
		);
	}

	private async sendAtTimes(requestsPerSecond: number): Promise<void> {
		const running = new Set<Promise<void>>();
		for (let sent = 0; this.mayContinue; sent += 1) {
			const due = this.started + (sent * 1000) / requestsPerSecond;
			const wait = due - performance.now();
			if (wait > 0) {
				await new Promise((resolve) => {
					setTimeout(resolve, wait);
				});
			}

			// The timer is late by up to a millisecond; latency counts from the sending.
			const one = this.sendOne(performance.now()).finally(() => {
				running.delete(one);
			});
			running.add(one);
		}

		await Promise.all(running);
	}

	private async sendOne(sentAt: number): Promise<void> {
		this.sequence += 1;
		const answer = await exchange(
			this.pool,
			this.options.request(this.sequence),
		);
		const now = performance.now();
		if (sentAt < this.measuredFrom) {
			return;
		}

		const {failure, firstTokenAt, lastTokenAt, tokens} = answer;
		if (failure) {
			this.failures += 1;
			this.failuresByCode.set(
				failure.code,
				(this.failuresByCode.get(failure.code) ?? 0) + 1,
			);
			this.firstFailure ??= failure.text;
			return;
		}

		this.requests += 1;
		record(this.latency, now - sentAt);
		if (firstTokenAt === undefined || lastTokenAt === undefined) {
			return;
		}

		record(this.firstToken, firstTokenAt - sentAt);
		if (tokens > 1) {
			record(this.betweenTokens, (lastTokenAt - firstTokenAt) / (tokens - 1));
		}
	}
}

function microsecondHistogram(): Histogram {
	return buildHistogram({
		highestTrackableValue: highestMicroseconds,
		numberOfSignificantValueDigits: 3,
	});
}

function record(histogram: Histogram, milliseconds: number): void {
	histogram.recordValue(Math.round(milliseconds * microsecondsPerMillisecond));
}

async function exchange(pool: Pool, request: LoadRequest): Promise<Answer> {
	try {
		const answer = await pool.request(request);
		if (answer.statusCode >= 400) {
			const text = await answer.body.text();
			return {tokens: 0, failure: refusal(answer.statusCode, text)};
		}

		if (request.stream === undefined) {
			await answer.body.text();
			return {tokens: 0};
		}

		return await readStream(answer.body, request.stream);
	} catch (error) {
		return {tokens: 0, failure: {code: 'connection', text: String(error)}};
	}
}

function refusal(status: number, text: string) {
	const code = /"code":"([\w-]+)"/.exec(text)?.[1] ?? String(status);
	return {code, text: `${status} ${text.slice(0, 200)}`};
}

// The marks are those of this system's own answers; parsing each event would make the generator slower than the host.
const marks = {
	'server-sent-events': {token: '"delta":{"content":', end: 'data: [DONE]'},
	'json-lines': {token: '"kind":"token"', end: '"kind":"end"'},
};

async function readStream(
	body: AsyncIterable<Uint8Array>,
	form: StreamFormat,
): Promise<Answer> {
	const {token, end} = marks[form];
	const decoder = new TextDecoder();
	let rest = '';
	let tokens = 0;
	let isWhole = false;
	let firstTokenAt: number | undefined;
	let lastTokenAt: number | undefined;
	for await (const chunk of body) {
		const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
		rest = lines.pop() ?? '';
		const found = lines.filter((line) => line.includes(token)).length;
		if (found > 0) {
			tokens += found;
			lastTokenAt = performance.now();
			firstTokenAt ??= lastTokenAt;
		}

		isWhole ||= lines.some((line) => line.includes(end));
	}

	return isWhole
		? {tokens, firstTokenAt, lastTokenAt}
		: {tokens, failure: {code: 'incomplete', text: 'the stream has no end'}};
}
