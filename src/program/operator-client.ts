import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {request} from 'undici';
import {CommandFailure, type ExitCodeName} from './command-failure.js';

/** Address of the operators' listener of a host, credentials and timeout. */
export type OperatorClientOptions = {
	readonly url: string;
	/** Bearer token. Calls without it are sent unauthenticated. */
	readonly token: string | undefined;
	readonly timeoutMilliseconds: number;
};

/** Body of an error response. */
type ErrorBody = {
	readonly code?: string;
	readonly detail?: string;
	readonly problems?: ReadonlyArray<{
		readonly path: string;
		readonly message: string;
	}>;
};

/** Exit code and remedy for each error status of the operators' listener. */
const remedies: Readonly<
	Record<number, readonly [exit: ExitCodeName, remedy: string | undefined]>
> = {
	400: ['invalid', undefined],
	401: [
		'unauthenticated',
		'Set DAISYLEVER_TOKEN to the token whose SHA-256 digest is listed under operators in the settings of the host.',
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
		'Read the history or the open orders before you retry: the record can still take effect.',
	],
};

/** Client of the operators' listener of a host. */
export class OperatorClient {
	constructor(private readonly options: OperatorClientOptions) {}

	/** Sends a request to a path below /operator/v1 and returns the parsed JSON response, whose type is not checked. Fails on an error status, a timeout or a response that is not JSON. */
	json<T>(
		method: 'GET' | 'PUT' | 'POST',
		path: string,
		body?: unknown,
	): ResultAsync<T, CommandFailure> {
		return this.text(method, path, body).andThen((text) => parseJson<T>(text));
	}

	/** Sends a request to a path below /operator/v1 and returns the response body as text. Fails on an error status or a timeout. */
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
					`the host at ${url} did not respond within ${timeoutMilliseconds} ms: ${error instanceof Error ? error.message : String(error)}`,
					'Check --url, or call another host: all hosts return the same data.',
					{cause: error},
				),
		).andThen(({status, text}) =>
			status < 300
				? ok(text)
				: err(createFailure(status, text, token !== undefined)),
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
				'the response of the host is not JSON',
				'Check that --url is the address of the operators’ listener.',
				{cause: error},
			),
		);
	}
}

function createFailure(
	status: number,
	text: string,
	hasToken: boolean,
): CommandFailure {
	const body: ErrorBody = parseJson<ErrorBody>(text).unwrapOr({});
	const [exit, remedy] = remedies[status] ?? ['failure', undefined];
	const details = (body.problems ?? []).map(
		({path, message}) => `\n  ${path}: ${message}`,
	);
	const message =
		status === 401 && !hasToken
			? 'no operator token is set'
			: `${body.detail ?? `the host responded with status ${status}`}${details.join('')}`;
	return new CommandFailure(exit, message, remedy);
}
