import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {type HttpBindings} from '@hono/node-server';
import {Hono, type Context, type MiddlewareHandler} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {z} from 'zod';
import {sha256} from '../base/common/digest.js';
import {
	HttpListener,
	type ListenerLimits,
	type TlsIdentity,
} from '../base/node/http-listener.js';
import {type ListenError, type ListenOptions} from '../base/node/listen.js';
import {Disposable} from '../base/common/disposable.js';
import {
	type EventLogger,
	type LogEventDefinition,
} from '../base/common/event-logger.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {orderIdSchema, revisionSchema} from '../contracts/ids.js';
import {formatBurnPlot, formatBurnTable} from '../core/burn/burn-report.js';
import {
	compareDocuments,
	formatDifferences,
} from '../core/documents/document-difference.js';
import {validateDocument} from '../core/documents/document-validator.js';
import {
	formatPath,
	toSchemaProblems,
} from '../core/documents/schema-problems.js';
import {
	NotRecordedError,
	RevisionConflictError,
	UnknownOrderError,
	type OperatorBackend,
	type OperatorBackendError,
} from './operator-backend.js';

/** An operator and the SHA-256 digest of the operator's bearer token. */
export type OperatorCredential = {
	readonly name: string;
	readonly tokenDigest: string;
};

/** Options of an operator server. */
export type OperatorServerOptions = {
	readonly backend: OperatorBackend;
	readonly credentials: readonly OperatorCredential[];
	readonly logger: EventLogger;
	/** Limits of the listener, and `documentBytes`, the maximum size of a request body. */
	readonly limits: ListenerLimits & {readonly documentBytes: number};
	/** If set, the server uses TLS. */
	readonly tls?: TlsIdentity | undefined;
};

type Bindings = {Bindings: HttpBindings; Variables: {operator: string}};
type OperatorContext = Context<Bindings>;

const submissionSchema = z.strictObject({
	expectedRevision: revisionSchema,
	summary: z.string().max(1000).default(''),
	document: z.unknown(),
});

const settlementSchema = z.strictObject({
	orders: z.array(orderIdSchema).min(1),
});

const explainSchema = z.strictObject({
	request: z.string().optional(),
	caller: z.string().optional(),
	offering: z.string().optional(),
	pool: z.string().optional(),
	target: z.string().optional(),
	artifact: z.string().optional(),
	lease: z.string().optional(),
	fingerprint: z.string().optional(),
	kind: z
		.enum([
			'takeover',
			'move',
			'refusal',
			'quarantine',
			'routing',
			'retry',
			'order',
		])
		.optional(),
	limit: z.coerce.number().int().positive().max(1000).default(100),
});

type ProblemStatus = 400 | 401 | 404 | 409 | 413 | 422 | 500 | 503;

/** An error response of the operator API. `details` are added to the problem document. */
class OperatorProblem extends Error {
	override readonly name = 'OperatorProblem';

	constructor(
		readonly status: ProblemStatus,
		readonly code: string,
		message: string,
		readonly details: Readonly<Record<string, unknown>> = {},
	) {
		super(message);
	}
}

function problemResponse(problem: OperatorProblem): Response {
	return Response.json(
		{
			type: 'about:blank',
			status: problem.status,
			code: problem.code,
			detail: problem.message,
			...problem.details,
		},
		{
			status: problem.status,
			headers: {
				'content-type': 'application/problem+json',
				...(problem.status === 401 ? {'www-authenticate': 'Bearer'} : {}),
			},
		},
	);
}

/** HTTP server for operators: document, status, explain, burn, orders, metrics and health. */
export class OperatorServer extends Disposable {
	private readonly app = new Hono<Bindings>();
	private readonly listener: HttpListener;

	constructor(private readonly options: OperatorServerOptions) {
		super();
		this.addHealthRoutes();
		this.app.use('/operator/*', this.authentication());
		this.app.use(
			'/operator/*',
			bodyLimit({
				maxSize: options.limits.documentBytes,
				onError: () =>
					problemResponse(
						new OperatorProblem(
							413,
							'body-too-large',
							`The request body is larger than the limit of ${options.limits.documentBytes} bytes. See limits.documentBytes in the settings.`,
						),
					),
			}),
		);
		this.addDocumentRoutes();
		this.addInspectionRoutes();
		this.addOrderRoutes();
		this.app.notFound((context) =>
			problemResponse(
				new OperatorProblem(
					404,
					'unknown-path',
					`The operator API does not provide ${context.req.method} ${context.req.path}. See docs/OPERATIONS.md.`,
				),
			),
		);
		this.app.onError((error) => {
			options.logger.record(operatorEvents.operatorRequestFailed, {error});
			return problemResponse(
				new OperatorProblem(
					500,
					'internal-error',
					'The request failed because of an internal error.',
				),
			);
		});
		this.listener = new HttpListener({
			fetch: this.app.fetch,
			limits: options.limits,
			tls: options.tls,
		});
	}

	/** Starts listening and resolves with the port. With port zero the operating system chooses a free one. */
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

	private addHealthRoutes(): void {
		const {backend} = this.options;
		this.app.get('/healthz', (context) => context.text('ok\n'));
		this.app.get('/readyz', (context) => {
			const reasons = backend.notReadyReasons();
			return reasons.length === 0
				? context.text('ready\n')
				: context.text(`not ready: ${reasons.join('; ')}\n`, 503);
		});
		this.app.get('/metrics', (context) =>
			context.body(backend.metrics(), 200, {
				'content-type': 'text/plain; version=0.0.4; charset=utf-8',
			}),
		);
	}

	private authentication(): MiddlewareHandler<Bindings> {
		return async (context, next) => {
			const header = context.req.header('authorization') ?? '';
			const token = /^bearer +(\S+)$/i.exec(header)?.[1];
			const operator =
				token === undefined ? undefined : this.findOperator(token);
			if (operator === undefined) {
				this.options.logger.record(operatorEvents.operatorUnauthenticated, {
					path: context.req.path,
				});
				return problemResponse(
					new OperatorProblem(
						401,
						'unauthenticated',
						'A bearer token of an operator is required. The settings must contain its digest under operators.',
					),
				);
			}

			context.set('operator', operator);
			await next();
		};
	}

	/** Returns the operator of a token. Compares all digests in constant time, so that the time reveals nothing about them. */
	private findOperator(token: string): string | undefined {
		const digest = Buffer.from(sha256(token), 'hex');
		let operator: string | undefined;
		for (const {name, tokenDigest} of this.options.credentials) {
			const known = Buffer.from(tokenDigest, 'hex');
			if (known.length === digest.length && timingSafeEqual(known, digest)) {
				operator = name;
			}
		}

		return operator;
	}

	private addDocumentRoutes(): void {
		const {backend} = this.options;
		this.app.get('/operator/v1/document', (context) => {
			const inForce = backend.document();
			return inForce
				? context.json(inForce)
				: problemResponse(
						new OperatorProblem(
							404,
							'no-document',
							'The request failed because no document is in force yet. Submit one with expected revision 0.',
						),
					);
		});
		this.app.get('/operator/v1/document/history', (context) =>
			context.json({history: backend.history()}),
		);
		this.app.post('/operator/v1/document/check', async (context) =>
			this.toResponse(
				context,
				readJson(context).andThen((body) =>
					checkDocument(body).map((document) => {
						const changes = compareDocuments(
							backend.document()?.document,
							document,
						);
						return {
							valid: true,
							revision: backend.document()?.revision ?? 0,
							changes,
							text: formatDifferences(changes),
						};
					}),
				),
			),
		);
		this.app.put('/operator/v1/document', async (context) =>
			this.toResponse(context, this.submit(context)),
		);
	}

	private submit(
		context: OperatorContext,
	): ResultAsync<unknown, OperatorProblem> {
		const {backend, logger} = this.options;
		const operator = context.get('operator');
		return readJson(context)
			.andThen((body) => parseBody(submissionSchema, body))
			.andThen(({document, ...rest}) =>
				checkDocument(document)
					.map((valid) => ({...rest, document: valid}))
					.mapErr((problem) => {
						logger.record(operatorEvents.documentInvalid, {
							operator,
							problems: problem.details.problems,
						});
						return problem;
					}),
			)
			.andThen((submission) =>
				backend
					.submit({...submission, operator})
					.map((revision) => {
						logger.record(operatorEvents.documentSubmitted, {
							operator,
							revision,
							summary: submission.summary,
						});
						return {revision};
					})
					.mapErr((error) => {
						logger.record(toLogEvent(error), {operator, error});
						return toProblem(error);
					}),
			);
	}

	private addInspectionRoutes(): void {
		const {backend} = this.options;
		this.app.get('/operator/v1/status', (context) =>
			context.json(backend.status()),
		);
		this.app.get('/operator/v1/explain', async (context) =>
			this.toResponse(
				context,
				parseBody(explainSchema, context.req.query()).asyncAndThen(
					({kind, limit, ...subjects}) =>
						backend
							.explain({
								kinds: kind === undefined ? undefined : [kind],
								subjects,
								limit,
							})
							.map((decisions) => ({decisions}))
							.mapErr(toProblem),
				),
			),
		);
		this.app.get('/operator/v1/burn', async (context) => {
			const format = context.req.query('format') ?? 'json';
			if (!['json', 'text', 'svg'].includes(format)) {
				return problemResponse(
					new OperatorProblem(
						400,
						'bad-request',
						`The format is "${format}", but must be json, text or svg.`,
					),
				);
			}

			const report = await backend.burn();
			if (report.isErr()) {
				return problemResponse(toProblem(report.error));
			}

			if (format === 'json') {
				return context.json(report.value);
			}

			return format === 'text'
				? context.text(`${formatBurnTable(report.value)}\n`)
				: context.body(formatBurnPlot(report.value), 200, {
						'content-type': 'image/svg+xml',
					});
		});
	}

	private addOrderRoutes(): void {
		const {backend, logger} = this.options;
		this.app.get('/operator/v1/orders', (context) =>
			context.json({orders: backend.openOrders()}),
		);
		this.app.post('/operator/v1/orders/settle', async (context) => {
			const operator = context.get('operator');
			return this.toResponse(
				context,
				readJson(context)
					.andThen((body) => parseBody(settlementSchema, body))
					.andThen(({orders}) =>
						backend
							.settle(orders, operator)
							.map(() => {
								logger.record(operatorEvents.ordersSettledByOperator, {
									operator,
									orders,
								});
								return {settled: orders};
							})
							.mapErr(toProblem),
					),
			);
		});
	}

	private async toResponse(
		context: OperatorContext,
		result: ResultAsync<unknown, OperatorProblem>,
	): Promise<Response> {
		return result.match(
			(value) => context.json(value as Record<string, unknown>),
			(problem) => problemResponse(problem),
		);
	}
}

function readJson(
	context: OperatorContext,
): ResultAsync<unknown, OperatorProblem> {
	return ResultAsync.fromPromise(
		context.req.json<unknown>(),
		() =>
			new OperatorProblem(400, 'bad-request', 'The request body is not JSON.'),
	);
}

function parseBody<T extends z.ZodType>(
	schema: T,
	body: unknown,
): Result<z.infer<T>, OperatorProblem> {
	const parsed = schema.safeParse(body);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const problems = toSchemaProblems(schema, parsed.error.issues).map(
		({path, message}) => ({path: formatPath(path), message}),
	);
	return err(
		new OperatorProblem(
			400,
			'bad-request',
			problems.map(({path, message}) => `${path}: ${message}`).join('; '),
			{problems},
		),
	);
}

function checkDocument(body: unknown): Result<FleetDocument, OperatorProblem> {
	return validateDocument(body).mapErr(
		(error) =>
			new OperatorProblem(
				422,
				'invalid-document',
				`The document has ${error.problems.length} errors.`,
				{
					problems: error.problems.map(({path, message}) => ({
						path: formatPath(path),
						message,
					})),
				},
			),
	);
}

function toLogEvent(error: OperatorBackendError): LogEventDefinition {
	if (error instanceof RevisionConflictError) {
		return operatorEvents.documentConflict;
	}

	return error instanceof NotRecordedError
		? operatorEvents.documentNotRecorded
		: operatorEvents.documentInvalid;
}

function toProblem(error: OperatorBackendError): OperatorProblem {
	if (error instanceof RevisionConflictError) {
		return new OperatorProblem(
			409,
			'revision-conflict',
			`${error.message} Apply the change to the document in force and submit it again.`,
			{currentRevision: error.current, winner: error.winner},
		);
	}

	if (error instanceof UnknownOrderError) {
		return new OperatorProblem(404, 'unknown-order', error.message, {
			orders: error.orders,
		});
	}

	return error instanceof NotRecordedError
		? new OperatorProblem(
				503,
				'store-outage',
				`${error.message} The record can still take effect: check the current state before retrying.`,
			)
		: new OperatorProblem(422, 'refused', error.message);
}
