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

/** Settings of the engine stand-in. */
export type EngineServerOptions = {
	readonly target?: string;
	readonly memoryBytes?: number;
	/** Generations that run at a time. Others wait in the queue of the engine. */
	readonly slots?: number;
	/** Waiting generations beyond which the engine refuses as busy. */
	readonly queueLimit?: number;
	/** Refuses orders with a token older than the newest one seen. */
	readonly honoursFencing?: boolean;
	/** Takes loads beyond its memory, as engines do that fail only when they touch it. */
	readonly acceptsOvercommit?: boolean;
	readonly firstTokenMilliseconds?: number;
	readonly betweenTokensMilliseconds?: number;
	/** Share by which a full batch is slower than a single generation. */
	readonly batchSlowdown?: number;
	readonly modelLoadMilliseconds?: number;
	readonly adapterLoadMilliseconds?: number;
	/** Weight store to fetch from before a load ends. Its time replaces the load times. */
	readonly weightStoreAddress?: string;
	/** Age that a report can have when it is answered. */
	readonly reportLagMilliseconds?: number;
	/** Time until a cache event can be read. */
	readonly cacheEventLagMilliseconds?: number;
	/** Prompt prefixes that the cache holds. */
	readonly prefixCacheEntries?: number;
	/** Share of the first-token time that remains when the whole prompt is cached. */
	readonly cachedFirstTokenShare?: number;
	/** Time that a generation runs on after its last connection closed. */
	readonly abandonMilliseconds?: number;
	/** Artifacts that are resident from the start. */
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

// Finished generations stay resumable; this bounds the memory of long tests.
const retainedRuns = 4096;
const retainedOrders = 64;

const cacheContentSchema = z.object({
	model: z.string(),
	prefixes: z.array(z.string()),
});

/** Stand-in for an engine worker. */
export class EngineServer extends StandInServer<
	EngineFaults,
	z.input<typeof engineFaultsSchema>
> {
	readonly memory: EngineMemory;
	/** Generations started, resumed ones not counted again. */
	generations = 0;
	/** Generations started per request id. */
	readonly starts = new Map<RequestId, number>();
	/** Orders taken in, in order. */
	readonly orders: EngineOrder[] = [];
	/** Orders refused for their token. */
	staleOrders = 0;
	private readonly options: typeof defaults;
	private readonly cache: PrefixCache;
	private readonly runs = new Map<RequestId, GenerationRun>();
	private readonly running = new Set<GenerationRun>();
	private readonly queue: GenerationRun[] = [];
	private readonly appliedOrders: OrderId[] = [];
	/** Answers to the order ids taken in, kept over restarts by an engine that ignores fencing. */
	private readonly takenOrders = new Map<OrderId, RefusalReason | undefined>();
	private role: EngineRole = 'mixed';
	private highestToken = 0;
	private sequence = 0;
	private published: TargetReport;
	private pending: TargetReport;
	private frozen: TargetReport | undefined;
	private visibleCacheEvents: ReturnType<PrefixCache['eventsFrom']> = [];

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

		this.published = this.snapshot();
		this.pending = this.published;
		this.addGenerationRoutes();
		this.addOrderRoutes();
		this.addCacheRoutes();
	}

	override async start(): Promise<{readonly address: string}> {
		this.published = this.snapshot();
		this.pending = this.published;
		this.publishReports();
		this.publishCacheEvents();
		return super.start();
	}

	/** The true state of the engine, without lag or faults. */
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
		// The highest token and the order ids taken in outlive a restart, see the Engine contract.
		this.sequence = 0;
		this.role = 'mixed';
	}

	protected override faultsChanged(): void {
		this.sequence++;
		if (!this.faults.reportFrozen) {
			this.frozen = undefined;
			return;
		}

		this.frozen ??= this.snapshot();
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
			const known = this.runs.get(request.requestId);
			if (known && !known.isCancelled) {
				return this.streamRun(context, known, known.firstSequence);
			}

			const refusal = this.refusalOf(request);
			if (refusal) {
				return this.refuse(context, refusal, `the engine is ${refusal}`);
			}

			const run = this.admit(new GenerationRun(request));
			return this.streamRun(context, run, run.firstSequence);
		});
		this.app.get('/generations/:id', (context) => {
			const run = this.runs.get(context.req.param('id') as RequestId);
			const from = Number(context.req.query('from') ?? 0);
			if (!run || from < run.firstSequence) {
				return this.refuse(context, 'unknown-request', 'no such generation');
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
				this.frozen ??
				(this.options.reportLagMilliseconds > 0
					? this.published
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
					`the order is refused: ${refusal}`,
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
					? this.visibleCacheEvents
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
				return this.refuse(context, 'unknown-request', 'no such generation');
			}

			const content = {
				model: run.request.model,
				prefixes: promptPrefixDigests(run.request),
			};
			return context.body(JSON.stringify(content), 200, {
				'content-type': 'application/octet-stream',
			});
		});
		this.app.put('/generations/:id/cache', async (context) => {
			const text = await context.req.text();
			const content = z
				.string()
				.transform((value, problems) => {
					try {
						return JSON.parse(value) as unknown;
					} catch {
						problems.addIssue('not JSON');
						return z.NEVER;
					}
				})
				.pipe(cacheContentSchema)
				.safeParse(text);
			if (!content.success) {
				return this.refuse(context, 'invalid', 'not a cache content');
			}

			if (!this.memory.isResident('model', content.data.model)) {
				return this.refuse(context, 'not-resident', 'no such model here');
			}

			this.cache.store(content.data.prefixes);
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
		for (const [key, old] of this.runs) {
			if (this.runs.size <= retainedRuns) {
				break;
			}

			if (old.finished) {
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
		const cached = this.cache.countHits(prefixes) / prefixes.length;
		this.cache.store(prefixes);
		const share = 1 - cached * (1 - this.options.cachedFirstTokenShare);
		await this.delay(this.options.firstTokenMilliseconds * share * this.pace());
		run.advance();
		while (!run.finished) {
			await this.delay(this.options.betweenTokensMilliseconds * this.pace());
			run.advance();
		}

		this.release(run);
	}

	// A batch step takes longer the more generations share it.
	private pace(): number {
		const sharing = Math.max(0, this.running.size - 1) / this.options.slots;
		return this.faults.slowFactor * (1 + sharing * this.options.batchSlowdown);
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
		const writeNew = () => {
			for (; position < run.events.length; position++) {
				writer.write(run.events[position]!);
			}
		};

		run.watchers++;
		const subscription = run.eventsAdded.subscribe(writeNew);
		outgoing.once('close', () => {
			void subscription.dispose();
			run.watchers--;
			this.after(this.options.abandonMilliseconds, () => {
				if (run.watchers === 0 && !run.finished) {
					this.cancelRun(run.request.requestId);
				}
			});
		});
		writeNew();
		return RESPONSE_ALREADY_SENT;
	}

	private applyOrder(order: EngineOrder): RefusalReason | undefined {
		if (this.options.honoursFencing && order.token < this.highestToken) {
			this.staleOrders++;
			return 'stale-token';
		}

		if (!this.options.honoursFencing && this.takenOrders.has(order.orderId)) {
			return this.takenOrders.get(order.orderId);
		}

		this.highestToken = Math.max(this.highestToken, order.token);
		const refusal = this.changeState(order);
		if (!this.options.honoursFencing) {
			this.takenOrders.set(order.orderId, refusal);
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
		const present = this.memory.get(key);
		if (present) {
			return present.state === 'unloading' ? 'busy' : undefined;
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
				// The store is down. The load stays in flight and is tried again.
			}

			await this.delay(100);
		}
	}

	// An artifact is freed once no generation uses it any more.
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

	// Two steps per lag make the age of an answered report vary between half the lag and the lag.
	private publishReports(): void {
		const lag = this.options.reportLagMilliseconds;
		if (lag === 0) {
			return;
		}

		this.after(lag / 2, () => {
			this.published = this.pending;
			this.pending = this.snapshot();
			this.publishReports();
		});
	}

	private publishCacheEvents(): void {
		const lag = this.options.cacheEventLagMilliseconds;
		if (lag === 0) {
			return;
		}

		this.after(lag, () => {
			this.visibleCacheEvents = this.cache.eventsFrom(0);
			this.publishCacheEvents();
		});
	}
}
