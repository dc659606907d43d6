import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** Format of a streamed response. */
export type StreamFormat = 'server-sent-events' | 'json-lines';

/** One request of a load run. */
export type LoadRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Format of the response if it is streamed. */
	readonly stream?: StreamFormat;
};

/** Options of a load run. */
export type LoadOptions = {
	readonly address: string;
	readonly connections: number;
	/** Rate of an open loop, which sends requests on schedule whether or not earlier ones have completed. Without it the loop is closed: each connection sends its next request when the response to the previous one has ended. */
	readonly requestsPerSecond?: number;
	readonly durationMilliseconds: number;
	readonly warmUpMilliseconds: number;
	/** Largest number of requests in the run, including the warm-up. */
	readonly maximumRequests?: number;
	/** Creates the request with the given number, starting at 1. */
	readonly request: (sequence: number) => LoadRequest;
};

/** Measurements of a load run after its warm-up. Latencies are in microseconds and cover complete responses only. */
export type LoadResult = {
	/** Requests with a complete response and no error status. */
	readonly requests: number;
	/** Requests without a response, with an error status or with an incomplete response. */
	readonly failures: number;
	/** Number of failures by error code, or by status when the response has no code. */
	readonly failuresByCode: ReadonlyMap<string, number>;
	readonly requestsPerSecond: number;
	readonly latency: Histogram;
	/** Of streamed responses: time to the first chunk with a token. */
	readonly firstToken: Histogram;
	/** Of streamed responses: mean time between the tokens of each response. */
	readonly betweenTokens: Histogram;
	readonly firstFailure: string | undefined;
};

const microsecondsPerMillisecond = 1000;
const maximumLatencyMicroseconds = 60_000_000;

type ResponseMeasurement = {
	readonly failure?: {readonly code: string; readonly text: string};
	readonly firstTokenAt?: number;
	readonly lastTokenAt?: number;
	readonly tokens: number;
};

/** Sends requests to an address and measures the time to the end of each response. */
export async function generateLoad(options: LoadOptions): Promise<LoadResult> {
	const pool = new Pool(options.address, {
		connections: options.connections,
		pipelining: 1,
	});
	const run = new LoadRun(pool, options);
	await run.execute();
	await pool.close();
	return run.result();
}

class LoadRun {
	private readonly latency = microsecondHistogram();
	private readonly firstToken = microsecondHistogram();
	private readonly betweenTokens = microsecondHistogram();
	private readonly failuresByCode = new Map<string, number>();
	private readonly startedAt = performance.now();
	private readonly measuredFrom: number;
	private readonly endAt: number;
	private sequence = 0;
	private requests = 0;
	private failures = 0;
	private measuredSeconds = 0;
	private firstFailure: string | undefined;

	constructor(
		private readonly pool: Pool,
		private readonly options: LoadOptions,
	) {
		this.measuredFrom = this.startedAt + options.warmUpMilliseconds;
		this.endAt = this.measuredFrom + options.durationMilliseconds;
	}

	async execute(): Promise<void> {
		await (this.options.requestsPerSecond === undefined
			? this.sendClosedLoop()
			: this.sendOpenLoop(this.options.requestsPerSecond));
		this.measuredSeconds = (performance.now() - this.measuredFrom) / 1000;
	}

	result(): LoadResult {
		const {latency, firstToken, betweenTokens} = this;
		return {
			requests: this.requests,
			failures: this.failures,
			failuresByCode: this.failuresByCode,
			requestsPerSecond: this.requests / this.measuredSeconds,
			latency,
			firstToken,
			betweenTokens,
			firstFailure: this.firstFailure,
		};
	}

	private get mayContinue(): boolean {
		return (
			performance.now() < this.endAt &&
			this.sequence < (this.options.maximumRequests ?? Infinity)
		);
	}

	private async sendClosedLoop(): Promise<void> {
		const worker = async () => {
			while (this.mayContinue) {
				await this.sendRequest(performance.now());
			}
		};

		await Promise.all(
			Array.from({length: this.options.connections}, async () => worker()),
		);
	}

	private async sendOpenLoop(requestsPerSecond: number): Promise<void> {
		const running = new Set<Promise<void>>();
		for (let sent = 0; this.mayContinue; sent += 1) {
			const due = this.startedAt + (sent * 1000) / requestsPerSecond;
			const wait = due - performance.now();
			if (wait > 0) {
				await new Promise((resolve) => {
					setTimeout(resolve, wait);
				});
			}

			// Timers fire up to 1 ms late, so latency counts from the actual send time.
			const pending = this.sendRequest(performance.now()).finally(() => {
				running.delete(pending);
			});
			running.add(pending);
		}

		await Promise.all(running);
	}

	private async sendRequest(sentAt: number): Promise<void> {
		this.sequence += 1;
		const measurement = await exchange(
			this.pool,
			this.options.request(this.sequence),
		);
		const now = performance.now();
		if (sentAt < this.measuredFrom) {
			return;
		}

		const {failure, firstTokenAt, lastTokenAt, tokens} = measurement;
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
		highestTrackableValue: maximumLatencyMicroseconds,
		numberOfSignificantValueDigits: 3,
	});
}

function record(histogram: Histogram, milliseconds: number): void {
	histogram.recordValue(Math.round(milliseconds * microsecondsPerMillisecond));
}

async function exchange(
	pool: Pool,
	request: LoadRequest,
): Promise<ResponseMeasurement> {
	try {
		const response = await pool.request(request);
		if (response.statusCode >= 400) {
			const text = await response.body.text();
			return {
				tokens: 0,
				failure: describeErrorResponse(response.statusCode, text),
			};
		}

		if (request.stream === undefined) {
			await response.body.text();
			return {tokens: 0};
		}

		return await readStream(response.body, request.stream);
	} catch (error) {
		return {tokens: 0, failure: {code: 'connection', text: String(error)}};
	}
}

function describeErrorResponse(status: number, text: string) {
	const code = /"code":"([\w-]+)"/.exec(text)?.[1] ?? String(status);
	return {code, text: `${status} ${text.slice(0, 200)}`};
}

// Searches for the markers of this system's own responses. Parsing each event would make the generator slower than the host.
const streamMarkers = {
	'server-sent-events': {token: '"delta":{"content":', end: 'data: [DONE]'},
	'json-lines': {token: '"kind":"token"', end: '"kind":"end"'},
};

async function readStream(
	body: AsyncIterable<Uint8Array>,
	format: StreamFormat,
): Promise<ResponseMeasurement> {
	const {token, end} = streamMarkers[format];
	const decoder = new TextDecoder();
	let incompleteLine = '';
	let tokens = 0;
	let isComplete = false;
	let firstTokenAt: number | undefined;
	let lastTokenAt: number | undefined;
	for await (const chunk of body) {
		const lines = (
			incompleteLine + decoder.decode(chunk, {stream: true})
		).split('\n');
		incompleteLine = lines.pop() ?? '';
		const tokenCount = lines.filter((line) => line.includes(token)).length;
		if (tokenCount > 0) {
			tokens += tokenCount;
			lastTokenAt = performance.now();
			firstTokenAt ??= lastTokenAt;
		}

		isComplete ||= lines.some((line) => line.includes(end));
	}

	return isComplete
		? {tokens, firstTokenAt, lastTokenAt}
		: {
				tokens,
				failure: {
					code: 'incomplete',
					text: 'the stream ended without its end marker',
				},
			};
}
