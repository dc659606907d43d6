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
import {type ListenError, type ListenOptions} from '../../base/node/listen.js';
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

/** Limits of the listener for callers. */
export type EntryLimits = ListenerLimits & {
	/** Maximum size of a request body. */
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
	readonly authenticated: AuthenticatedCaller;
};

type EntryBindings = {Bindings: HttpBindings};
type EntryContext = Context<EntryBindings>;

const servicePathPattern = /^\/services\/([^/]+)(\/.*)?$/;

// The tokens of a prompt are estimated by its words, because only the engine has the tokenizer.
const wordPattern = /\S+/g;

/** HTTP server for callers. Serves chat completions, the list of models and plain services. */
export class EntryServer extends Disposable {
	private readonly app = new Hono<{Bindings: HttpBindings}>();
	private readonly listener: HttpListener;

	constructor(private readonly options: EntryServerOptions) {
		super();
		const rejectBody = () =>
			problemResponse(
				new RequestProblem(
					'body-too-large',
					`The request body is larger than the limit of ${options.limits.bodyBytes} bytes.`,
					'not-run',
				),
				options.generateRequestId(),
			);
		const limitBody = bodyLimit({
			maxSize: options.limits.bodyBytes,
			onError: rejectBody,
		}) as MiddlewareHandler<EntryBindings>;
		this.app.use('*', async (context: Context<EntryBindings, string>, next) => {
			const {headers} = context.env.incoming;
			const length = Number(headers['content-length']);
			// The HTTP parser of Node.js enforces the announced length of a body, so checking the header is enough. The
			// middleware creates a web request with a stream, so it is used only for a body without a valid length.
			if (
				headers['transfer-encoding'] !== undefined ||
				!Number.isInteger(length)
			) {
				return limitBody(context, next);
			}

			return length > options.limits.bodyBytes ? rejectBody() : next();
		});
		this.app.post('/v1/chat/completions', async (context) =>
			this.handle(context, async (scope) => this.completeChat(context, scope)),
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
					'No route matches the path and method. The paths are /v1/chat/completions, /v1/models and /services/<name>/….',
					'not-run',
				),
				options.generateRequestId(),
			),
		);
		this.app.onError((error, context) =>
			this.handleUnexpectedError(error, context),
		);
		this.listener = new HttpListener({
			fetch: this.app.fetch,
			limits: options.limits,
			tls: options.tls,
		});
	}

	/** Starts to listen and returns the port. */
	async listen(
		port: number,
		hostname: string,
		options?: ListenOptions,
	): Promise<Result<number, ListenError>> {
		return this.listener.listen(port, hostname, options);
	}

	async dispose(): Promise<void> {
		await this.listener.dispose();
	}

	private async handle(
		context: EntryContext,
		handler: (scope: RequestScope) => Promise<Result<Response, RequestProblem>>,
	): Promise<Response> {
		const requestId = this.options.generateRequestId();
		const directory = this.options.gate.admit();
		await this.trackUntilSent(context, directory);
		const authenticated = directory.andThen((callers) =>
			callers.authenticate(context.req.header('authorization')),
		);
		const response =
			directory.isOk() && authenticated.isOk()
				? await handler({
						requestId,
						directory: directory.value,
						authenticated: authenticated.value,
					})
				: err(
						directory.isErr()
							? directory.error
							: authenticated._unsafeUnwrapErr(),
					);
		if (response.isOk()) {
			return response.value;
		}

		this.recordProblem(requestId, response.error);
		return problemResponse(response.error, requestId);
	}

	/** Counts the request as running from its admission until its response is sent, so that a planned stop waits for it. */
	private async trackUntilSent(
		context: EntryContext,
		directory: Result<CallerDirectory, RequestProblem>,
	): Promise<void> {
		const {outgoing} = context.env;
		outgoing.once('close', this.options.gate.trackRequest());
		if (directory.isErr() && directory.error.code === 'stopping') {
			// The load balancer must not send another request on a connection that is about to be closed.
			outgoing.shouldKeepAlive = false;
			// Closing a connection with unread request data resets it, and the caller would not receive the refusal.
			await context.req.arrayBuffer();
		}
	}

	private async completeChat(
		context: EntryContext,
		scope: RequestScope,
	): Promise<Result<Response, RequestProblem>> {
		const parsed = parseChatCompletion(await context.req.text());
		if (parsed.isErr()) {
			return err(parsed.error);
		}

		const offering = scope.directory.findOffering(
			scope.authenticated,
			parsed.value.offering,
		);
		if (offering.isErr()) {
			return err(offering.error);
		}

		const limit = offering.value.offering.maximumTokens;
		const request: ModelRequest = {
			requestId: scope.requestId,
			authenticated: scope.authenticated,
			offering: offering.value,
			messages: parsed.value.messages,
			maximumTokens: Math.min(parsed.value.maximumTokens ?? limit, limit),
		};
		const abort = new AbortController();
		const parts = this.options.models
			.run(request, abort.signal)
			[Symbol.asyncIterator]();
		abortOnDisconnect(context, abort);
		const identity: CompletionIdentity = {
			id: `chatcmpl-${scope.requestId}`,
			created: Math.floor(this.options.clock.wall() / 1000),
			offering: offering.value.offering.name,
		};
		const promptTokens = countWords(request);
		// The first part is awaited before the response starts, so that a refusal is sent with its own status.
		const first = await parts.next();
		if (first.done) {
			return err(interruptedProblem());
		}

		if (first.value.isErr()) {
			await parts.return?.();
			return err(first.value.error);
		}

		const response = {
			identity,
			promptTokens,
			firstPart: first.value.value,
			parts,
			includeUsage: parsed.value.includeUsage,
			requestId: scope.requestId,
		};
		if (parsed.value.stream) {
			return ok(this.streamResponse(response, abort));
		}

		const collected = await collectResponse(response);
		// Headers in a plain object are written as they are, without the cost of a Headers object.
		return collected.map((body) =>
			Response.json(body, {
				headers: {
					'content-type': 'application/json',
					'x-request-id': scope.requestId,
				},
			}),
		);
	}

	private streamResponse(
		response: StartedResponse,
		abort: AbortController,
	): Response {
		const encoder = new TextEncoder();
		const events = responseEvents(response, (problem) => {
			this.recordProblem(response.requestId, problem);
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
				'x-request-id': response.requestId,
			},
		});
	}

	private async callService(
		context: EntryContext,
		scope: RequestScope,
	): Promise<Result<Response, RequestProblem>> {
		const url = new URL(context.req.url);
		const match = servicePathPattern.exec(url.pathname);
		const service = scope.directory.findService(
			scope.authenticated,
			match?.[1] ?? '',
		);
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
		abortOnDisconnect(context, abort);
		const result = await this.options.services.call(
			{
				requestId: scope.requestId,
				authenticated: scope.authenticated,
				service: service.value,
				route,
				path: `${path}${url.search}`,
				contentType: context.req.header('content-type'),
				body,
				key: key.value,
			},
			abort.signal,
		);
		return result.map((response) => {
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

	private recordProblem(requestId: RequestId, problem: RequestProblem): void {
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

	private handleUnexpectedError(error: Error, context: EntryContext): Response {
		const requestId = this.options.generateRequestId();
		const {incoming} = context.env;
		if (incoming.destroyed && !incoming.complete) {
			// The request was not executed, because its body is read before anything is dispatched.
			const problem = new RequestProblem(
				'bad-request',
				'The connection closed before the request body was complete.',
				'not-run',
			);
			this.recordProblem(requestId, problem);
			return problemResponse(problem, requestId);
		}

		this.options.events.record(entryEvents.internalError, {
			requestId,
			error: error.stack ?? error.message,
		});
		return problemResponse(interruptedProblem(), requestId);
	}
}

/** Aborts when the connection closes before the response is fully written, which happens only if the caller disconnects. */
function abortOnDisconnect(
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
		data: scope.directory
			.listOfferings(scope.authenticated)
			.map((offering) => ({
				id: offering.name,
				object: 'model',
				created: 0,
				owned_by: 'daisylever',
			})),
	});
}
