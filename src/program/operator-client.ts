import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {request} from 'undici';
import {CommandFailure, type ExitCodeName} from './command-failure.js';

/** Where the operators' listener is and how to authenticate there. */
export type OperatorClientOptions = {
	readonly url: string;
	readonly token: string | undefined;
	readonly timeoutMilliseconds: number;
};

type Problem = {
	readonly code?: string;
	readonly detail?: string;
	readonly problems?: ReadonlyArray<{
		readonly path: string;
		readonly message: string;
	}>;
};

const remedies: Readonly<
	Record<number, readonly [exit: ExitCodeName, remedy: string | undefined]>
> = {
	400: ['invalid', undefined],
	401: [
		'unauthenticated',
		'Set DAISYLEVER_TOKEN to the token whose SHA-256 digest stands under operators in the settings of the host.',
	],
	404: ['notFound', undefined],
	409: [
		'conflict',
		'Run "daisylever document show", apply your change to it and submit it with the revision shown there.',
	],
	413: ['invalid', undefined],
	422: ['invalid', undefined],
	503: [
		'unavailable',
		'Read the history or the open orders before you try again: the record can still take effect.',
	],
};

/** Calls the operators' listener of a host. */
export class OperatorClient {
	constructor(private readonly options: OperatorClientOptions) {}

	/** Calls a path below /operator/v1 and returns the JSON answer. */
	json<T>(
		method: 'GET' | 'PUT' | 'POST',
		path: string,
		body?: unknown,
	): ResultAsync<T, CommandFailure> {
		return this.text(method, path, body).andThen((text) => parseJson<T>(text));
	}

	/** Calls a path below /operator/v1 and returns the answer as text. */
	text(
		method: 'GET' | 'PUT' | 'POST',
		path: string,
		body?: unknown,
	): ResultAsync<string, CommandFailure> {
		const {url, token, timeoutMilliseconds} = this.options;
		return ResultAsync.fromPromise(
			this.send(method, path, body),
			(error) =>
				new CommandFailure(
					'unavailable',
					`the host at ${url} did not answer within ${timeoutMilliseconds} ms: ${error instanceof Error ? error.message : String(error)}`,
					'Check --url, or ask another host: all hosts answer the same.',
					{cause: error},
				),
		).andThen(({status, text}) =>
			status < 300
				? ok(text)
				: err(failureOf(status, text, token !== undefined)),
		);
	}

	private async send(
		method: 'GET' | 'PUT' | 'POST',
		path: string,
		body: unknown,
	): Promise<{readonly status: number; readonly text: string}> {
		const {url, token, timeoutMilliseconds} = this.options;
		const response = await request(new URL(`/operator/v1${path}`, url), {
			method,
			headers: {
				...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
				...(body === undefined ? {} : {'content-type': 'application/json'}),
			},
			body: body === undefined ? undefined : JSON.stringify(body),
			signal: AbortSignal.timeout(timeoutMilliseconds),
		});
		return {status: response.statusCode, text: await response.body.text()};
	}
}

function parseJson<T>(text: string): Result<T, CommandFailure> {
	try {
		return ok(JSON.parse(text) as T);
	} catch (error) {
		return err(
			new CommandFailure(
				'failure',
				'the host answered with something other than JSON',
				'Check that --url names the operators’ listener.',
				{cause: error},
			),
		);
	}
}

function failureOf(
	status: number,
	text: string,
	hasToken: boolean,
): CommandFailure {
	const problem: Problem = parseJson<Problem>(text).unwrapOr({});
	const [exit, remedy] = remedies[status] ?? ['failure', undefined];
	const details = (problem.problems ?? []).map(
		({path, message}) => `\n  ${path}: ${message}`,
	);
	const message =
		status === 401 && !hasToken
			? 'no operator token is set'
			: `${problem.detail ?? `the host answered with status ${status}`}${details.join('')}`;
	return new CommandFailure(exit, message, remedy);
}
