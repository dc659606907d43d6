import {Buffer} from 'node:buffer';
import {type HttpBindings} from '@hono/node-server';
import {Hono, type Context, type MiddlewareHandler} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ok, type Result} from 'neverthrow';
import {
	HttpListener,
	type ListenerLimits,
	type TlsIdentity,
} from '../../base/node/http-listener.js';
import {type ListenError} from '../../base/node/listen.js';
import {Disposable} from '../../base/common/disposable.js';
import {
	type EventLogger,
	type LogEventDefinition,
} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type Clock} from '../../base/common/clock.js';
import {entryEvents} from '../../contracts/events/entry-events.js';
import {type RequestId} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	type CallerDirectory,
	type AuthenticatedCaller,
} from './caller-directory.js';
import {
	responseEvents,
	collectResponse,
	interruptedProblem,
	type StartedResponse,
} from './chat-response.js';
import {
	parseChatCompletion,
	type CompletionIdentity,
} from './chat-completion.js';
import {type AdmissionGate} from './admission-gate.js';
import {type ModelGateway, type ModelRequest} from './model-gateway.js';
import {problemResponse} from './problem-response.js';
import {type ServiceGateway} from './service-gateway.js';
import {findRoute, readIdempotencyKey} from './service-routes.js';

/** Limits of the callers' listener. */
export type EntryLimits = ListenerLimits & {
	readonly bodyBytes: number;
};

/** Collaborators of the entry server. */
export type EntryServerOptions = {
	readonly gate: AdmissionGate;
	readonly models: ModelGateway;
	readonly services: ServiceGateway;
	readonly limits: EntryLimits;
	readonly tls?: TlsIdentity | undefined;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly generateRequestId: () => RequestId;
};

type RequestScope = {
	readonly requestId: RequestId;
	readonly directory: CallerDirectory;
	readonly known: AuthenticatedCaller;
};

// The incoming request closes before the response ends only when the caller has gone.
type EntryBindings = {Bindings: HttpBindings};
type EntryContext = Context<EntryBindings>;

const servicePathPattern = /^\/services\/([^/]+)(\/.*)?$/;

// Prompts are counted in words, since the tokenizer belongs to the engine.
const wordPattern = /\S+/g;

/** Serves callers: chat completions and plain services. */
export class EntryServer extends Disposable {
	private readonly app = new Hono<{Bindings: HttpBindings}>();
	private readonly listener: HttpListener;

	constructor(private readonly options: EntryServerOptions) {
		super();
		const refuseBody = () =>
			problemResponse(
				new RequestProblem(
					'body-too-large',
					`The body is larger than ${options.limits.bodyBytes} bytes.`,
					'not-run',
				),
				options.generateRequestId(),
			);
		const limitBody = bodyLimit({
			maxSize: options.limits.bodyBytes,
			onError: refuseBody,
		}) as MiddlewareHandler<EntryBindings>;
		this.app.use('*', async (context: Context<EntryBindings, string>, next) => {
			const {headers} = context.env.incoming;
			const length = Number(headers['content-length']);
			// The middleware builds a web request with a stream to look at the body. The parser of Node.js holds a body to
			// its announced length, so for such a body the header is enough.
			if (
				headers['transfer-encoding'] !== undefined ||
				!Number.isInteger(length)
			) {
				return limitBody(context, next);
			}

			return length > options.limits.bodyBytes ? refuseBody() : next();
		});
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
				options.generateRequestId(),
			),
		);
		this.app.onError((error, context) => this.unexpected(error, context));
		this.listener = new HttpListener({
			fetch: this.app.fetch,
			limits: options.limits,
			tls: options.tls,
		});
	}

	/** Listens and returns the port. */
	async listen(
		port: number,
		hostname: string,
	): Promise<Result<number, ListenError>> {
		return this.listener.listen(port, hostname);
	}

	async dispose(): Promise<void> {
		await this.listener.dispose();
	}

	private async handle(
		context: EntryContext,
		work: (scope: RequestScope) => Promise<Result<Response, RequestProblem>>,
	): Promise<Response> {
		const requestId = this.options.generateRequestId();
		const directory = this.options.gate.admit();
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
		outgoing.once('close', this.options.gate.trackRequest());
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

		const offering = scope.directory.findOffering(
			scope.known,
			parsed.value.offering,
		);
		if (offering.isErr()) {
			return err(offering.error);
		}

		const limit = offering.value.offering.maximumTokens;
		const request: ModelRequest = {
			requestId: scope.requestId,
			authenticated: scope.known,
			offering: offering.value,
			messages: parsed.value.messages,
			maximumTokens: Math.min(parsed.value.maximumTokens ?? limit, limit),
		};
		const abort = new AbortController();
		const parts = this.options.models
			.run(request, abort.signal)
			[Symbol.asyncIterator]();
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
			return err(interruptedProblem());
		}

		if (first.value.isErr()) {
			await parts.return?.();
			return err(first.value.error);
		}

		const answer = {
			identity,
			promptTokens,
			firstPart: first.value.value,
			parts,
			includeUsage: parsed.value.includeUsage,
			requestId: scope.requestId,
		};
		if (parsed.value.stream) {
			return ok(this.streamAnswer(answer, abort));
		}

		const whole = await collectResponse(answer);
		// Headers in a plain object are written as they are, without a Headers object.
		return whole.map((body) =>
			Response.json(body, {
				headers: {
					'content-type': 'application/json',
					'x-request-id': scope.requestId,
				},
			}),
		);
	}

	private streamAnswer(
		answer: StartedResponse,
		abort: AbortController,
	): Response {
		const encoder = new TextEncoder();
		const events = responseEvents(answer, (problem) => {
			this.noteProblem(answer.requestId, problem);
		});
		const stream = new ReadableStream<Uint8Array>({
			async pull(controller) {
				const next = await events.next();
				if (next.done) {
					controller.close();
					return;
				}

				controller.enqueue(encoder.encode(next.value));
			},
			cancel() {
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

	private async callService(
		context: EntryContext,
		scope: RequestScope,
	): Promise<Result<Response, RequestProblem>> {
		const url = new URL(context.req.url);
		const match = servicePathPattern.exec(url.pathname);
		const service = scope.directory.findService(scope.known, match?.[1] ?? '');
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

		const key = readIdempotencyKey(
			context.req.header('idempotency-key'),
			route,
		);
		if (key.isErr()) {
			return err(key.error);
		}

		const abort = new AbortController();
		const body = new Uint8Array(await context.req.arrayBuffer());
		cancelWhenCallerLeaves(context, abort);
		const answer = await this.options.services.call(
			{
				requestId: scope.requestId,
				authenticated: scope.known,
				service: service.value,
				route,
				path: `${path}${url.search}`,
				contentType: context.req.header('content-type'),
				body,
				key: key.value,
			},
			abort.signal,
		);
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

	private unexpected(error: Error, context: EntryContext): Response {
		const requestId = this.options.generateRequestId();
		const {incoming} = context.env;
		if (incoming.destroyed && !incoming.complete) {
			// Bodies are read before anything is dispatched.
			const problem = new RequestProblem(
				'bad-request',
				'The body did not arrive whole.',
				'not-run',
			);
			this.noteProblem(requestId, problem);
			return problemResponse(problem, requestId);
		}

		this.options.events.record(entryEvents.internalError, {
			requestId,
			error: error.stack ?? error.message,
		});
		return problemResponse(interruptedProblem(), requestId);
	}
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
		data: scope.directory.listOfferings(scope.known).map((offering) => ({
			id: offering.name,
			object: 'model',
			created: 0,
			owned_by: 'daisylever',
		})),
	});
}
