import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {request as httpRequest} from 'undici';
import {z} from 'zod';
import {
	engineOrderSchema,
	generationRequestSchema,
	type EngineOrder,
	type EngineRole,
	type TargetReport,
} from '../contracts/engine.js';
import {
	type ArtifactKey,
	type FencingToken,
	type OrderId,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {promptPrefixDigests} from '../contracts/prompt-prefix.js';
import {type RefusalReason} from '../contracts/target-error.js';
import {engineFaultsSchema, type EngineFaults} from './engine-faults.js';
import {EngineMemory} from './engine-memory.js';
import {EventWriter} from './event-writer.js';
import {GenerationRun} from './generation-run.js';
import {PrefixCache} from './prefix-cache.js';
import {StandInServer, type StandInContext} from './stand-in-server.js';

/** Options of the engine stand-in. Times are in milliseconds and sizes in bytes. */
export type EngineServerOptions = {
	/** Target id in reports. */
	readonly target?: string;
	/** Capacity of the accelerator memory. */
	readonly memoryBytes?: number;
	/** Number of generations that run concurrently. Further ones wait in the queue of the engine. */
	readonly slots?: number;
	/** Number of queued generations at which the engine refuses new ones as busy. */
	readonly queueLimit?: number;
	/** Refuses orders with a fencing token lower than the highest one received. */
	readonly honoursFencing?: boolean;
	/** Accepts loads that exceed the memory, like engines that allocate lazily and fail only on access. */
	readonly acceptsOvercommit?: boolean;
	/** Time to the first token without cached prefixes and concurrent generations. */
	readonly firstTokenMilliseconds?: number;
	/** Time between two tokens without concurrent generations. */
	readonly betweenTokensMilliseconds?: number;
	/** Fraction by which a full batch is slower than a single generation. */
	readonly batchSlowdown?: number;
	/** Time to load a model without a weight store. */
	readonly modelLoadMilliseconds?: number;
	/** Time to load an adapter without a weight store. */
	readonly adapterLoadMilliseconds?: number;
	/** Base URL of the weight store from which artifacts are fetched. The time of the fetch replaces the load times. */
	readonly weightStoreAddress?: string;
	/** Maximum age of a report when it is served. Zero serves the current state. */
	readonly reportLagMilliseconds?: number;
	/** Maximum delay until a cache event can be read. */
	readonly cacheEventLagMilliseconds?: number;
	/** Number of prompt prefixes that the cache holds. */
	readonly prefixCacheEntries?: number;
	/** Fraction of `firstTokenMilliseconds` that remains when the whole prompt is cached. */
	readonly cachedFirstTokenShare?: number;
	/** Time until a generation is cancelled after its last connection closed. */
	readonly abandonMilliseconds?: number;
	/** Artifacts that are resident initially. */
	readonly artifacts?: ReadonlyArray<{
		readonly key: string;
		readonly bytes: number;
	}>;
};

const defaults = {
	target: 'engine',
	memoryBytes: 1_000_000,
	slots: 8,
	queueLimit: 256,
	honoursFencing: true,
	acceptsOvercommit: false,
	firstTokenMilliseconds: 5,
	betweenTokensMilliseconds: 1,
	batchSlowdown: 0.5,
	modelLoadMilliseconds: 50,
	adapterLoadMilliseconds: 8,
	weightStoreAddress: '',
	reportLagMilliseconds: 0,
	cacheEventLagMilliseconds: 0,
	prefixCacheEntries: 256,
	cachedFirstTokenShare: 0.3,
	abandonMilliseconds: 5000,
	artifacts: [] as ReadonlyArray<{
		readonly key: string;
		readonly bytes: number;
	}>,
};

// Finished generations stay resumable up to this number, which bounds the memory use of long tests.
const retainedRuns = 4096;
// Number of recently applied orders that reports list.
const retainedOrders = 64;

const cacheSnapshotSchema = z.object({
	model: z.string(),
	prefixes: z.array(z.string()),
});

/** Stand-in for an engine worker: generations, load and unload orders, reports and cache events over HTTP. */
export class EngineServer extends StandInServer<
	EngineFaults,
	z.input<typeof engineFaultsSchema>
> {
	/** Accelerator memory of the engine. */
	readonly memory: EngineMemory;
	/** Number of accepted generations. Resuming a generation does not count. */
	generations = 0;
	/** Number of accepted generations by request id. */
	readonly starts = new Map<RequestId, number>();
	/** Applied orders in the order in which they arrived. */
	readonly orders: EngineOrder[] = [];
	/** Number of orders refused for a stale fencing token. */
	staleOrders = 0;
	private readonly options: typeof defaults;
	private readonly cache: PrefixCache;
	private readonly runs = new Map<RequestId, GenerationRun>();
	private readonly running = new Set<GenerationRun>();
	private readonly queue: GenerationRun[] = [];
	private readonly appliedOrders: OrderId[] = [];
	/**
	 * Results by order id, with which an engine that ignores fencing recognises repeated orders.
	 * They survive restarts.
	 */
	private readonly orderResults = new Map<OrderId, RefusalReason | undefined>();
	private role: EngineRole = 'mixed';
	private highestToken = 0;
	private sequence = 0;
	private publishedReport: TargetReport;
	private pendingReport: TargetReport;
	private frozenReport: TargetReport | undefined;
	private publishedCacheEvents: ReturnType<PrefixCache['eventsFrom']> = [];

	constructor(options: EngineServerOptions = {}) {
		super(engineFaultsSchema);
		this.options = {...defaults, ...options};
		this.memory = new EngineMemory(
			this.options.memoryBytes,
			this.options.acceptsOvercommit,
		);
		this.cache = new PrefixCache(this.options.prefixCacheEntries);
		for (const {key, bytes} of this.options.artifacts) {
			this.memory.reserve(key as ArtifactKey, bytes);
			this.memory.mark(key as ArtifactKey, 'resident');
		}

		this.publishedReport = this.snapshot();
		this.pendingReport = this.publishedReport;
		this.addGenerationRoutes();
		this.addOrderRoutes();
		this.addCacheRoutes();
	}

	override async start(): Promise<{readonly address: string}> {
		this.publishedReport = this.snapshot();
		this.pendingReport = this.publishedReport;
		this.publishReports();
		this.publishCacheEvents();
		return super.start();
	}

	/** Returns a report of the current state, without lag and report faults. */
	snapshot(): TargetReport {
		return {
			target: this.options.target as TargetId,
			incarnation: this.incarnation as TargetIncarnation,
			sequence: this.sequence,
			leaving: this.faults.leaving,
			role: this.role,
			memoryBytes: this.options.memoryBytes,
			artifacts: [...this.memory.list()],
			highestToken: this.highestToken as FencingToken,
			running: this.running.size,
			queued: this.queue.length,
			slots: this.options.slots,
			appliedOrders: [...this.appliedOrders],
		};
	}

	protected override statistics(): Readonly<Record<string, unknown>> {
		return {
			highestBytes: this.memory.highestBytes,
			heldBytes: this.memory.heldBytes,
			overcommits: this.memory.overcommits,
			generations: this.generations,
			crashes: this.crashes,
			mostStarts: Math.max(0, ...this.starts.values()),
			orders: this.orders.length,
			staleOrders: this.staleOrders,
			report: this.snapshot(),
		};
	}

	protected override memoryLost(): void {
		this.memory.clear();
		this.cache.clear();
		this.runs.clear();
		this.running.clear();
		this.queue.length = 0;
		this.appliedOrders.length = 0;
		// The highest fencing token and the results of orders survive a restart, as the Engine contract requires.
		this.sequence = 0;
		this.role = 'mixed';
	}

	protected override faultsChanged(): void {
		this.sequence++;
		if (!this.faults.reportFrozen) {
			this.frozenReport = undefined;
			return;
		}

		this.frozenReport ??= this.snapshot();
	}

	private addGenerationRoutes(): void {
		this.app.post('/generate', async (context) => {
			const parsed = generationRequestSchema.safeParse(
				await context.req.json(),
			);
			if (!parsed.success) {
				return this.refuse(context, 'invalid', z.prettifyError(parsed.error));
			}

			const request = parsed.data;
			const existing = this.runs.get(request.requestId);
			if (existing && !existing.isCancelled) {
				return this.streamRun(context, existing, existing.firstSequence);
			}

			const refusal = this.refusalOf(request);
			if (refusal) {
				return this.refuse(
					context,
					refusal,
					`The engine refused the generation: ${refusal}.`,
				);
			}

			const run = this.admit(new GenerationRun(request));
			return this.streamRun(context, run, run.firstSequence);
		});
		this.app.get('/generations/:id', (context) => {
			const run = this.runs.get(context.req.param('id') as RequestId);
			const from = Number(context.req.query('from') ?? 0);
			if (!run || from < run.firstSequence) {
				return this.refuse(
					context,
					'unknown-request',
					'The engine has no generation with this id.',
				);
			}

			return this.streamRun(context, run, from);
		});
		this.app.delete('/generations/:id', (context) => {
			this.cancelRun(context.req.param('id') as RequestId);
			return context.body(null, 204);
		});
	}

	private addOrderRoutes(): void {
		this.app.get('/report', (context) => {
			const report =
				this.frozenReport ??
				(this.options.reportLagMilliseconds > 0
					? this.publishedReport
					: this.snapshot());
			return context.json({...report, ...this.faults.reportOverrides});
		});
		this.app.post('/orders', async (context) => {
			const parsed = engineOrderSchema.safeParse(await context.req.json());
			if (!parsed.success) {
				return this.refuse(context, 'invalid', z.prettifyError(parsed.error));
			}

			const order = parsed.data;
			const fault = this.faults.orders.find(({remaining}) => remaining > 0);
			if (fault) {
				fault.remaining--;
				if (fault.kind !== 'lost') {
					this.after(fault.delayMilliseconds, () => {
						this.applyOrder(order);
					});
				}

				if (fault.kind !== 'repeated') {
					return this.closeWithoutResponse(context);
				}
			}

			const refusal = this.applyOrder(order);
			if (refusal) {
				return this.refuse(
					context,
					refusal,
					`The engine refused the order: ${refusal}.`,
				);
			}

			return context.json({orderId: order.orderId, report: this.snapshot()});
		});
	}

	private addCacheRoutes(): void {
		this.app.get('/cache-events', (context) => {
			const from = Number(context.req.query('from') ?? 0);
			const gap = this.faults.cacheEventGap;
			const events = (
				this.options.cacheEventLagMilliseconds > 0
					? this.publishedCacheEvents
					: this.cache.eventsFrom(0)
			).filter(
				({sequence}) =>
					sequence >= from && (gap === 0 || sequence % gap !== gap - 1),
			);
			return context.json({events});
		});
		this.app.get('/generations/:id/cache', (context) => {
			const run = this.runs.get(context.req.param('id') as RequestId);
			if (!run) {
				return this.refuse(
					context,
					'unknown-request',
					'The engine has no generation with this id.',
				);
			}

			const snapshot = {
				model: run.request.model,
				prefixes: promptPrefixDigests(run.request),
			};
			return context.body(JSON.stringify(snapshot), 200, {
				'content-type': 'application/octet-stream',
			});
		});
		this.app.put('/generations/:id/cache', async (context) => {
			const text = await context.req.text();
			const snapshot = z
				.string()
				.transform((value, problems) => {
					try {
						return JSON.parse(value) as unknown;
					} catch {
						problems.addIssue('The body is not JSON.');
						return z.NEVER;
					}
				})
				.pipe(cacheSnapshotSchema)
				.safeParse(text);
			if (!snapshot.success) {
				return this.refuse(
					context,
					'invalid',
					'The body is not a cache snapshot.',
				);
			}

			if (!this.memory.isResident('model', snapshot.data.model)) {
				return this.refuse(
					context,
					'not-resident',
					'The model of the cache snapshot is not resident.',
				);
			}

			this.cache.store(snapshot.data.prefixes);
			return context.body(null, 204);
		});
	}

	private refuse(
		context: StandInContext,
		refusal: RefusalReason,
		message: string,
	): Response {
		const status = refusal === 'invalid' ? 400 : 409;
		return context.json({refusal, message}, status, {
			'target-refusal': refusal,
		});
	}

	private refusalOf(
		request: z.infer<typeof generationRequestSchema>,
	): RefusalReason | undefined {
		if (this.faults.leaving) {
			return 'leaving';
		}

		const {model, adapter} = request;
		if (
			!this.memory.isResident('model', model) ||
			(adapter !== undefined && !this.memory.isResident('adapter', adapter))
		) {
			return 'not-resident';
		}

		return this.faults.busy || this.queue.length >= this.options.queueLimit
			? 'busy'
			: undefined;
	}

	private admit(run: GenerationRun): GenerationRun {
		const {requestId} = run.request;
		this.generations++;
		this.starts.set(requestId, (this.starts.get(requestId) ?? 0) + 1);
		this.runs.set(requestId, run);
		for (const [key, candidate] of this.runs) {
			if (this.runs.size <= retainedRuns) {
				break;
			}

			if (candidate.finished) {
				this.runs.delete(key);
			}
		}

		const position = this.queue.findIndex(
			(other) => other.request.priority > run.request.priority,
		);
		this.queue.splice(position === -1 ? this.queue.length : position, 0, run);
		this.startQueued();
		return run;
	}

	private startQueued(): void {
		this.sequence++;
		while (this.running.size < this.options.slots) {
			const run = this.queue.shift();
			if (!run) {
				return;
			}

			run.started = true;
			this.running.add(run);
			void this.produce(run);
		}
	}

	private async produce(run: GenerationRun): Promise<void> {
		const prefixes = promptPrefixDigests(run.request);
		const cachedShare = this.cache.countHits(prefixes) / prefixes.length;
		this.cache.store(prefixes);
		const remainingShare =
			1 - cachedShare * (1 - this.options.cachedFirstTokenShare);
		await this.delay(
			this.options.firstTokenMilliseconds * remainingShare * this.slowdown(),
		);
		run.advance();
		while (!run.finished) {
			await this.delay(
				this.options.betweenTokensMilliseconds * this.slowdown(),
			);
			run.advance();
		}

		this.release(run);
	}

	// A batch step takes longer the more generations run concurrently.
	private slowdown(): number {
		const batchShare = Math.max(0, this.running.size - 1) / this.options.slots;
		return (
			this.faults.slowFactor * (1 + batchShare * this.options.batchSlowdown)
		);
	}

	private release(run: GenerationRun): void {
		if (!this.running.delete(run)) {
			return;
		}

		this.finishUnloads();
		this.startQueued();
	}

	private cancelRun(requestId: RequestId): void {
		const run = this.runs.get(requestId);
		if (!run) {
			return;
		}

		const position = this.queue.indexOf(run);
		if (position !== -1) {
			this.queue.splice(position, 1);
			this.sequence++;
		}

		run.cancel();
		this.release(run);
	}

	private streamRun(
		context: StandInContext,
		run: GenerationRun,
		from: number,
	): Response {
		const {outgoing} = context.env;
		const fault = this.faults.streams.find(({remaining}) => remaining > 0);
		if (fault) {
			fault.remaining--;
		}

		outgoing.writeHead(200, {'content-type': 'application/x-ndjson'});
		outgoing.flushHeaders();
		const writer = new EventWriter(outgoing, fault);
		let position = Math.min(from - run.firstSequence, run.events.length);
		const writeNewEvents = () => {
			for (; position < run.events.length; position++) {
				writer.write(run.events[position]!);
			}
		};

		run.openStreams++;
		const subscription = run.eventsAdded.subscribe(writeNewEvents);
		outgoing.once('close', () => {
			void subscription.dispose();
			run.openStreams--;
			this.after(this.options.abandonMilliseconds, () => {
				if (run.openStreams === 0 && !run.finished) {
					this.cancelRun(run.request.requestId);
				}
			});
		});
		writeNewEvents();
		return RESPONSE_ALREADY_SENT;
	}

	private applyOrder(order: EngineOrder): RefusalReason | undefined {
		if (this.options.honoursFencing && order.token < this.highestToken) {
			this.staleOrders++;
			return 'stale-token';
		}

		if (!this.options.honoursFencing && this.orderResults.has(order.orderId)) {
			return this.orderResults.get(order.orderId);
		}

		this.highestToken = Math.max(this.highestToken, order.token);
		const refusal = this.changeState(order);
		if (!this.options.honoursFencing) {
			this.orderResults.set(order.orderId, refusal);
		}

		this.sequence++;
		if (refusal) {
			return refusal;
		}

		this.orders.push(order);
		this.appliedOrders.push(order.orderId);
		if (this.appliedOrders.length > retainedOrders) {
			this.appliedOrders.shift();
		}

		return undefined;
	}

	private changeState(order: EngineOrder): RefusalReason | undefined {
		switch (order.action) {
			case 'load': {
				return this.load(order.artifact, order.bytes);
			}

			case 'unload': {
				if (this.memory.get(order.artifact)) {
					this.memory.mark(order.artifact, 'unloading');
					this.finishUnloads();
				}

				return undefined;
			}

			case 'role': {
				this.role = order.role;
				return undefined;
			}

			case 'fence': {
				return undefined;
			}
		}
	}

	private load(key: ArtifactKey, bytes: number): RefusalReason | undefined {
		const existing = this.memory.get(key);
		if (existing) {
			return existing.state === 'unloading' ? 'busy' : undefined;
		}

		if (!this.memory.reserve(key, bytes)) {
			return 'insufficient-memory';
		}

		const {incarnation} = this;
		void this.fetchWeights(key).then(() => {
			if (
				this.incarnation === incarnation &&
				this.memory.get(key)?.state === 'loading'
			) {
				this.memory.mark(key, 'resident');
				this.sequence++;
			}
		});
		return undefined;
	}

	private async fetchWeights(key: ArtifactKey): Promise<void> {
		const kind = key.startsWith('adapter/') ? 'adapter' : 'model';
		const {weightStoreAddress} = this.options;
		if (weightStoreAddress === '') {
			const milliseconds =
				kind === 'adapter'
					? this.options.adapterLoadMilliseconds
					: this.options.modelLoadMilliseconds;
			await this.delay(milliseconds * this.faults.slowFactor);
			return;
		}

		for (;;) {
			try {
				const response = await httpRequest(`${weightStoreAddress}/fetch`, {
					method: 'POST',
					body: JSON.stringify({artifact: key, kind}),
				});
				await response.body.dump();
				if (response.statusCode === 200) {
					return;
				}
			} catch {
				// The weight store is unavailable. The artifact stays in state loading and the fetch is retried.
			}

			await this.delay(100);
		}
	}

	// Frees unloading artifacts that no generation uses any more.
	private finishUnloads(): void {
		for (const {key, state} of this.memory.list()) {
			if (state === 'unloading' && !this.isInUse(key)) {
				this.memory.free(key);
				this.sequence++;
			}
		}
	}

	private isInUse(key: ArtifactKey): boolean {
		return [...this.running].some(({request}) => {
			const {model, adapter} = request;
			return (
				key.startsWith(`model/${model}@`) ||
				(adapter !== undefined && key.startsWith(`adapter/${adapter}@`))
			);
		});
	}

	// Publishing each snapshot half a lag after it was taken, and replacing it after another half, lets
	// the age of a served report vary between half the lag and the full lag.
	private publishReports(): void {
		const lag = this.options.reportLagMilliseconds;
		if (lag === 0) {
			return;
		}

		this.after(lag / 2, () => {
			this.publishedReport = this.pendingReport;
			this.pendingReport = this.snapshot();
			this.publishReports();
		});
	}

	private publishCacheEvents(): void {
		const lag = this.options.cacheEventLagMilliseconds;
		if (lag === 0) {
			return;
		}

		this.after(lag, () => {
			this.publishedCacheEvents = this.cache.eventsFrom(0);
			this.publishCacheEvents();
		});
	}
}
