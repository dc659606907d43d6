import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** One kind of request that the generator repeats. */
export type LoadRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Called for each request, so that bodies and keys can differ. */
	readonly body: (sequence: number) => string | undefined;
	readonly extraHeaders?: (
		sequence: number,
	) => Readonly<Record<string, string>>;
};

/** Shape of a closed-loop load: each connection sends its next request after the answer to the one before. */
export type LoadOptions = {
	readonly address: string;
	readonly connections: number;
	readonly durationMilliseconds: number;
	readonly warmUpMilliseconds: number;
	readonly request: LoadRequest;
};

/** What a load run measured. Latencies are in microseconds. */
export type LoadResult = {
	readonly requests: number;
	readonly failures: number;
	readonly requestsPerSecond: number;
	readonly latency: Histogram;
	readonly firstFailure: string | undefined;
};

const microsecondsPerMillisecond = 1000;
const highestMicroseconds = 60_000_000;

/** Runs a closed-loop load and measures the time to the end of each answer. */
export async function generateLoad(options: LoadOptions): Promise<LoadResult> {
	const pool = new Pool(options.address, {
		connections: options.connections,
		pipelining: 1,
	});
	const latency = buildHistogram({
		highestTrackableValue: highestMicroseconds,
		numberOfSignificantValueDigits: 3,
	});
	const started = performance.now();
	const measuredFrom = started + options.warmUpMilliseconds;
	const end = measuredFrom + options.durationMilliseconds;
	let sequence = 0;
	let requests = 0;
	let failures = 0;
	let firstFailure: string | undefined;
	const worker = async () => {
		while (performance.now() < end) {
			sequence += 1;
			const sentAt = performance.now();
			const failure = await sendOne(pool, options.request, sequence);
			const now = performance.now();
			if (sentAt < measuredFrom) {
				continue;
			}

			if (failure !== undefined) {
				failures += 1;
				firstFailure ??= failure;
				continue;
			}

			requests += 1;
			latency.recordValue(
				Math.round((now - sentAt) * microsecondsPerMillisecond),
			);
		}
	};

	await Promise.all(
		Array.from({length: options.connections}, async () => worker()),
	);
	const seconds = (performance.now() - measuredFrom) / 1000;
	await pool.close();
	return {
		requests,
		failures,
		requestsPerSecond: requests / seconds,
		latency,
		firstFailure,
	};
}

async function sendOne(
	pool: Pool,
	request: LoadRequest,
	sequence: number,
): Promise<string | undefined> {
	try {
		const answer = await pool.request({
			method: request.method,
			path: request.path,
			headers: {...request.headers, ...request.extraHeaders?.(sequence)},
			body: request.body(sequence),
		});
		const text = await answer.body.text();
		return answer.statusCode < 400
			? undefined
			: `${answer.statusCode} ${text.slice(0, 200)}`;
	} catch (error) {
		return String(error);
	}
}
