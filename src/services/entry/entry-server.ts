import {Buffer} from 'node:buffer';
import {type Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {createAdaptorServer, type HttpBindings} from '@hono/node-server';
import {Hono, type Context} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ok, type Result} from 'neverthrow';
import {listenOn, type ListenError} from '../../base/node/listen.js';
import {Disposable} from '../../base/common/disposable.js';
import {
	type EventLogger,
	type LogEventDefinition,
} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type Clock} from '../../base/common/clock.js';
import {entryEvents} from '../../contracts/events/entry-events.js';
import {type ServiceRoute} from '../../contracts/fleet-document.js';
import {
	idempotencyKeySchema,
	type IdempotencyKey,
	type RequestId,
} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {type CallerDirectory, type KnownCaller} from './caller-directory.js';
import {
	completionBody,
	completionChunk,
	endOfStream,
	parseChatCompletion,
	serverSentEvent,
	usageChunk,
	type CompletionIdentity,
	type Usage,
} from './chat-completion.js';
import {type EntryGate} from './entry-gate.js';
import {
	type AnswerPart,
	type ModelGateway,
	type ModelRequest,
} from './model-gateway.js';
import {problemBody, problemResponse} from './problem-response.js';
import {type ServiceGateway} from './service-gateway.js';

/** Limits of the callers' listener. */
export type EntryLimits = {
	readonly bodyBytes: number;
	readonly headerBytes: number;
	readonly connections: number;
	readonly requestTimeoutMilliseconds: number;
};

/** Collaborators of the entry server. */
export type EntryServerOptions = {
	readonly gate: EntryGate;
	readonly models: ModelGateway;
	readonly services: ServiceGateway;
	readonly limits: EntryLimits;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly mintRequestId: () => RequestId;
};

// Requests have ended when the server is disposed; clients get this time to read their answers.
const closeGraceMilliseconds = 1000;

type RequestScope = {
	readonly requestId: RequestId;
	readonly directory: CallerDirectory;
	readonly known: KnownCaller;
};

// The incoming request closes before the response ends only when the caller has gone.
type EntryContext = Context<{Bindings: HttpBindings}>;

const servicePathPattern = /^\/services\/([^/]+)(\/.*)?$/;

// Prompts are counted in words, since the tokenizer belongs to the engine.
const wordPattern = /\S+/g;

/** Serves callers: chat completions and plain services. */
export class EntryServer extends Disposable {
	private readonly app = new Hono<{Bindings: HttpBindings}>();
	private server: Server | undefined;

	constructor(private readonly options: EntryServerOptions) {
		super();
		this.app.use(
			'*',
			bodyLimit({
				maxSize: options.limits.bodyBytes,
				onError: () =>
					problemResponse(
						new RequestProblem(
							'body-too-large',
							`The body is larger than ${options.limits.bodyBytes} bytes.`,
							'not-run',
						),
						options.mintRequestId(),
					),
			}),
		);
		this.app.post('/v1/chat/completions', async (context) =>
			this.handle(context, async (scope) => this.complete(context, scope)),
		);
		this.app.get('/v1/models', async (context) =>
			this.handle(context, async (scope) => ok(listOfferings(scope))),
		);
		this.app.all('/services/*', async (context) =>
			this.handle(context, async (scope) => this.callService(context, scope)),
		);
		this.app.notFound(() =>
			problemResponse(
				new RequestProblem(
					'bad-request',
					'There is no such path. Paths are /v1/chat/completions, /v1/models and /services/<name>/….',
					'not-run',
				),
				options.mintRequestId(),
			),
		);
		this.app.onError((error) => this.internalError(error));
	}

	/** Listens and returns the port. */
	async listen(
		port: number,
		hostname: string,
	): Promise<Result<number, ListenError>> {
		const {limits} = this.options;
		const server = createAdaptorServer({
			fetch: this.app.fetch,
			serverOptions: {
				maxHeaderSize: limits.headerBytes,
				requestTimeout: limits.requestTimeoutMilliseconds,
			},
		}) as Server;
		server.maxConnections = limits.connections;
		this.server = server;
		return listenOn(server, port, hostname);
	}

	async dispose(): Promise<void> {
		const {server} = this;
		if (!server?.listening) {
			return;
		}

		await new Promise<void>((resolve) => {
			// The close of an HTTP server also resets connections on which a request is about to arrive. Until the grace ends, such a request is refused as not run instead.
			NetServer.prototype.close.call(server, () => {
				resolve();
			});
			setTimeout(() => {
				server.closeAllConnections();
			}, closeGraceMilliseconds).unref();
		});
	}

	private async handle(
		context: EntryContext,
		work: (scope: RequestScope) => Promise<Result<Response, RequestProblem>>,
	): Promise<Response> {
		const requestId = this.options.mintRequestId();
		const directory = this.options.gate.open();
		await this.holdUntilSent(context, directory);
		const known = directory.andThen((tables) =>
			tables.authenticate(context.req.header('authorization')),
		);
		const answer =
			directory.isOk() && known.isOk()
				? await work({
						requestId,
						directory: directory.value,
						known: known.value,
					})
				: err(directory.isErr() ? directory.error : known._unsafeUnwrapErr());
		if (answer.isOk()) {
			return answer.value;
		}

		this.noteProblem(requestId, answer.error);
		return problemResponse(answer.error, requestId);
	}

	/** Counts the request from the decision to take it until its answer has left, so that a stop waits for both. */
	private async holdUntilSent(
		context: EntryContext,
		directory: Result<CallerDirectory, RequestProblem>,
	): Promise<void> {
		const {outgoing} = context.env;
		outgoing.once('close', this.options.gate.enter());
		if (directory.isErr() && directory.error.code === 'stopping') {
			// The balancer must not send a further request on a connection that is about to be closed.
			outgoing.shouldKeepAlive = false;
			// A connection closed before its request is read is reset, and the caller would not see the refusal.
			await context.req.arrayBuffer();
		}
	}

	private async complete(
		context: EntryContext,
		scope: RequestScope,
	): Promise<Result<Response, RequestProblem>> {
		const parsed = parseChatCompletion(await context.req.text());
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		const offering = scope.directory.offering(
			scope.known,
			parsed.value.offering,
		);
		if (offering.isErr()) {
			return err(offering.error);
		}

		const limit = offering.value.offering.maximumTokens;
		const request: ModelRequest = {
			requestId: scope.requestId,
			known: scope.known,
			offering: offering.value,
			messages: parsed.value.messages,
			maximumTokens: Math.min(parsed.value.maximumTokens ?? limit, limit),
		};
		const abort = new AbortController();
		const parts = this.options.models
			.run(request, abort.signal)
			[Symbol.asyncIterator]();
		const finished = this.options.gate.enter();
		cancelWhenCallerLeaves(context, abort);
		const identity: CompletionIdentity = {
			id: `chatcmpl-${scope.requestId}`,
			created: Math.floor(this.options.clock.wall() / 1000),
			offering: offering.value.offering.name,
		};
		const promptTokens = countWords(request);
		// The first part decides the status, so that a refusal is a plain error answer.
		const first = await parts.next();
		if (first.done) {
			finished();
			return err(interrupted());
		}

		if (first.value.isErr()) {
			await parts.return?.();
			finished();
			return err(first.value.error);
		}

		const answer = {
			identity,
			promptTokens,
			first: first.value.value,
			parts,
			includeUsage: parsed.value.includeUsage,
			requestId: scope.requestId,
		};
		if (parsed.value.stream) {
			return ok(this.streamAnswer(answer, abort, finished));
		}

		const whole = await collectAnswer(answer);
		finished();
		return whole.map((body) =>
			Response.json(body, {headers: {'x-request-id': scope.requestId}}),
		);
	}

	private streamAnswer(
		answer: StartedAnswer,
		abort: AbortController,
		finished: () => void,
	): Response {
		const encoder = new TextEncoder();
		const events = this.answerEvents(answer);
		const stream = new ReadableStream<Uint8Array>({
			async pull(controller) {
				const next = await events.next();
				if (next.done) {
					finished();
					controller.close();
					return;
				}

				controller.enqueue(encoder.encode(next.value));
			},
			cancel() {
				finished();
				abort.abort();
			},
		});
		return new Response(stream, {
			headers: {
				'content-type': 'text/event-stream',
				'cache-control': 'no-cache',
				'x-request-id': answer.requestId,
			},
		});
	}

	private async *answerEvents(answer: StartedAnswer): AsyncGenerator<string> {
		const {identity} = answer;
		yield completionChunk(identity, {role: 'assistant', content: ''}, null);
		for await (const part of allParts(answer)) {
			if (part.isErr()) {
				this.noteProblem(answer.requestId, part.error);
				yield serverSentEvent(problemBody(part.error, answer.requestId));
				return;
			}

			if (part.value.kind === 'text') {
				yield completionChunk(identity, {content: part.value.text}, null);
				continue;
			}

			yield completionChunk(identity, {}, part.value.reason);
			if (answer.includeUsage) {
				yield usageChunk(identity, usageOf(answer, part.value.tokens));
			}

			yield endOfStream;
			return;
		}
	}

	private async callService(
		context: EntryContext,
		scope: RequestScope,
	): Promise<Result<Response, RequestProblem>> {
		const url = new URL(context.req.url);
		const match = servicePathPattern.exec(url.pathname);
		const service = scope.directory.service(scope.known, match?.[1] ?? '');
		if (service.isErr()) {
			return err(service.error);
		}

		const path = match?.[2] ?? '/';
		const route = findRoute(service.value.routes, context.req.method, path);
		if (!route) {
			return err(
				new RequestProblem(
					'bad-request',
					`The service has no route for ${context.req.method} ${path}.`,
					'not-run',
				),
			);
		}

		const key = readKey(context, route);
		if (key.isErr()) {
			return err(key.error);
		}

		const abort = new AbortController();
		const finished = this.options.gate.enter();
		const body = new Uint8Array(await context.req.arrayBuffer());
		cancelWhenCallerLeaves(context, abort);
		const answer = await this.options.services.call(
			{
				requestId: scope.requestId,
				known: scope.known,
				service: service.value,
				route,
				path: `${path}${url.search}`,
				contentType: context.req.header('content-type'),
				body,
				key: key.value,
			},
			abort.signal,
		);
		finished();
		return answer.map((response) => {
			const headers: Record<string, string> = {
				'x-request-id': scope.requestId,
			};
			if (response.contentType) {
				headers['content-type'] = response.contentType;
			}

			const hasBody = response.status !== 204 && response.status !== 304;
			return new Response(hasBody ? Buffer.from(response.body) : null, {
				status: response.status,
				headers,
			});
		});
	}

	private noteProblem(requestId: RequestId, problem: RequestProblem): void {
		this.options.metrics.count('daisylever_refusals_total', {
			code: problem.code,
		});
		const event: LogEventDefinition =
			problem.execution === 'unknown'
				? entryEvents.requestFailed
				: entryEvents.requestRefused;
		this.options.events.record(event, {
			requestId,
			code: problem.code,
			execution: problem.execution,
			detail: problem.message,
		});
	}

	private internalError(error: Error): Response {
		const requestId = this.options.mintRequestId();
		this.options.events.record(entryEvents.internalError, {
			requestId,
			error: error.stack ?? error.message,
		});
		return problemResponse(interrupted(), requestId);
	}
}

type StartedAnswer = {
	readonly identity: CompletionIdentity;
	readonly requestId: RequestId;
	readonly promptTokens: number;
	readonly first: AnswerPart;
	readonly parts: AsyncIterator<Result<AnswerPart, RequestProblem>>;
	readonly includeUsage: boolean;
};

async function* allParts(
	answer: StartedAnswer,
): AsyncGenerator<Result<AnswerPart, RequestProblem>> {
	try {
		yield ok(answer.first);
		for (;;) {
			const next = await answer.parts.next();
			if (next.done) {
				yield err(interrupted());
				return;
			}

			yield next.value;
		}
	} finally {
		await answer.parts.return?.();
	}
}

async function collectAnswer(
	answer: StartedAnswer,
): Promise<Result<Record<string, unknown>, RequestProblem>> {
	const texts: string[] = [];
	for await (const part of allParts(answer)) {
		if (part.isErr()) {
			return err(part.error);
		}

		if (part.value.kind === 'text') {
			texts.push(part.value.text);
			continue;
		}

		return ok(
			completionBody(
				answer.identity,
				texts.join(''),
				part.value.reason,
				usageOf(answer, part.value.tokens),
			),
		);
	}

	return err(interrupted());
}

function usageOf(answer: StartedAnswer, completionTokens: number): Usage {
	return {promptTokens: answer.promptTokens, completionTokens};
}

function interrupted(): RequestProblem {
	return new RequestProblem(
		'interrupted',
		'The answer broke off before its end.',
		'unknown',
	);
}

function cancelWhenCallerLeaves(
	context: EntryContext,
	abort: AbortController,
): void {
	context.env.outgoing.once('close', () => {
		if (!context.env.outgoing.writableFinished) {
			abort.abort();
		}
	});
}

function countWords(request: ModelRequest): number {
	let words = 0;
	for (const message of request.messages) {
		words += message.content.match(wordPattern)?.length ?? 0;
	}

	return words;
}

function listOfferings(scope: RequestScope): Response {
	return Response.json({
		object: 'list',
		data: scope.directory.offeringsOf(scope.known).map((offering) => ({
			id: offering.name,
			object: 'model',
			created: 0,
			owned_by: 'daisylever',
		})),
	});
}

function findRoute(
	routes: readonly ServiceRoute[],
	method: string,
	path: string,
): ServiceRoute | undefined {
	let best: ServiceRoute | undefined;
	for (const route of routes) {
		if (route.method !== method || !matchesPrefix(path, route.pathPrefix)) {
			continue;
		}

		if (!best || route.pathPrefix.length > best.pathPrefix.length) {
			best = route;
		}
	}

	return best;
}

// A prefix ends at a path separator, so that /book does not match /bookkeeping.
function matchesPrefix(path: string, prefix: string): boolean {
	return (
		path === prefix ||
		path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
	);
}

function readKey(
	context: EntryContext,
	route: ServiceRoute,
): Result<IdempotencyKey | undefined, RequestProblem> {
	if (route.idempotent) {
		return ok(undefined);
	}

	const header = context.req.header('idempotency-key');
	const key = idempotencyKeySchema.safeParse(header);
	if (key.success) {
		return ok(key.data);
	}

	return err(
		new RequestProblem(
			'key-required',
			'This call may not be repeated. Send an Idempotency-Key header of 8 to 255 characters.',
			'not-run',
		),
	);
}
