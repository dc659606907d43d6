import {createServer, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context, type MiddlewareHandler} from 'hono';
import {v7 as uuid} from 'uuid';
import {z} from 'zod';
import {Disposable} from '../base/common/disposable.js';

/** Hono environment of the request handlers of a stand-in. */
export type StandInEnvironment = {Bindings: HttpBindings};

/** Hono context of one request to a stand-in. */
export type StandInContext = Context<StandInEnvironment>;

/** A fault injected into single exchanges: the request has no effect, or its response is lost or delayed. */
export const responseFaultSchema = z.object({
	/**
	 * `request-lost` closes the connection before the request is handled, `answer-lost` closes it
	 * after the request took effect, `answer-late` delays the response by `delayMilliseconds`.
	 */
	kind: z.enum(['request-lost', 'answer-lost', 'answer-late']),
	/** HTTP method of the affected requests. All methods by default. */
	method: z.string().optional(),
	pathPrefix: z.string().default('/'),
	/** Number of further requests that get the fault. */
	remaining: z.number().int().nonnegative().default(1),
	delayMilliseconds: z.number().nonnegative().default(0),
});
export type ResponseFault = z.infer<typeof responseFaultSchema>;

/** Faults that every stand-in can inject. */
export const standInFaultsSchema = z.strictObject({
	/** `unavailable` responds with status 503, `closed` closes each connection on its first request. */
	outage: z.enum(['none', 'unavailable', 'closed']).default('none'),
	/** Factor by which the simulated work of the stand-in takes longer. */
	slowFactor: z.number().positive().default(1),
	/** Delay of every response. */
	answerDelayMilliseconds: z.number().nonnegative().default(0),
	/** Text in the body of a request that makes the stand-in crash. */
	crashOnText: z.string().min(1).nullable().default(null),
	/** Time after a crash until a new incarnation listens. Null disables the restart. */
	restartMilliseconds: z.number().nonnegative().nullable().default(null),
	answers: z.array(responseFaultSchema).default([]),
});
export type StandInFaults = z.infer<typeof standInFaultsSchema>;
export type StandInFaultsInput = z.input<typeof standInFaultsSchema>;

/** Base URL of a started stand-in. */
export type StandInAddress = {readonly address: string};

/** HTTP server on 127.0.0.1 that replaces an external system and injects faults on request. */
export abstract class StandInServer<
	Faults extends StandInFaults = StandInFaults,
	FaultsInput extends object = StandInFaultsInput,
> extends Disposable {
	/** Enabled faults. Tests change them with `setFaults`. */
	faults: Faults;
	/** Id of the current incarnation. Changes after a crash. */
	incarnation = uuid();
	/** Number of simulated crashes. Those that `crashHandler` handled do not count. */
	crashes = 0;
	/** Called instead of a simulated crash when no restart is configured, for example to end the process. */
	crashHandler: (() => void) | undefined;
	/** Number of connections accepted so far. */
	acceptedConnections = 0;
	protected readonly app = new Hono<StandInEnvironment>();
	private readonly faultsSchema: z.ZodType<Faults, FaultsInput>;
	private readonly sockets = new Set<Socket>();
	private readonly silentSockets = new WeakSet<Socket>();
	private readonly timers = new Set<NodeJS.Timeout>();
	private server: Server | undefined;
	private port = 0;
	private disposed = false;

	constructor(faultsSchema: z.ZodType<Faults, FaultsInput>) {
		super();
		this.faultsSchema = faultsSchema;
		this.faults = faultsSchema.parse({});
		this.addControlRoutes();
		const middleware: MiddlewareHandler<StandInEnvironment> = async (
			context,
			next,
		) => this.applyFaults(context, next);
		this.app.use(middleware);
		this.app.get('/ping', (context) =>
			context.json({incarnation: this.incarnation}),
		);
	}

	/** Listens on a port that the operating system assigns. A restart uses the same port. */
	async start(): Promise<StandInAddress> {
		const listener = getRequestListener(this.app.fetch, {
			overrideGlobalObjects: false,
		});
		const server = createServer((incoming, outgoing) => {
			if (!this.silentSockets.has(incoming.socket)) {
				void listener(incoming, outgoing);
			}
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', (socket) => {
			this.acceptedConnections++;
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
		this.server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.port, '127.0.0.1', resolve);
		});
		this.port = (server.address() as AddressInfo).port;
		return {address: this.address};
	}

	/** Base URL of the started stand-in. */
	get address(): string {
		return `http://127.0.0.1:${this.port}`;
	}

	/** Replaces the given faults and keeps the others. */
	setFaults(changes: Partial<FaultsInput>): void {
		this.faults = this.faultsSchema.parse({...this.faults, ...changes});
		this.faultsChanged();
	}

	/** Disables all faults. */
	clearFaults(): void {
		this.faults = this.faultsSchema.parse({});
		this.faultsChanged();
	}

	/** Stops all reads and writes on the open connections without closing them. New connections work. */
	silenceConnections(): void {
		for (const socket of this.sockets) {
			this.silentSockets.add(socket);
			socket.pause();
			// The connection stays open, but nothing is sent on it any more.
			socket.write = () => false;
			socket.end = () => socket;
			socket.destroySoon = () => undefined;
		}
	}

	/** Resets all open connections. */
	breakConnections(): void {
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Simulates a crash: closes the port, resets the connections and clears volatile state. */
	crash(): void {
		const {restartMilliseconds} = this.faults;
		if (this.crashHandler && restartMilliseconds === null) {
			this.crashHandler();
			return;
		}

		this.crashes++;
		this.server?.close();
		this.breakConnections();
		this.clearTimers();
		this.incarnation = uuid();
		this.memoryLost();
		if (restartMilliseconds !== null) {
			this.after(restartMilliseconds, () => {
				void this.start();
			});
		}
	}

	/** Stops listening, destroys all connections and cancels all timers. */
	async dispose(): Promise<void> {
		this.disposed = true;
		this.clearTimers();
		const {server} = this;
		this.server = undefined;
		for (const socket of this.sockets) {
			socket.destroy();
		}

		if (server?.listening) {
			await new Promise((resolve) => {
				server.close(resolve);
			});
		}
	}

	/** Clears the state that a process loses in a crash. */
	protected memoryLost(): void {
		// Most stand-ins keep their state because the systems that they replace persist it.
	}

	/** Called after the faults changed. */
	protected faultsChanged(): void {
		// Most stand-ins read the faults at each use.
	}

	/** Runs a callback after a delay, unless the stand-in crashes or is disposed before. */
	protected after(milliseconds: number, callback: () => void): void {
		if (this.disposed) {
			return;
		}

		const timer = setTimeout(() => {
			this.timers.delete(timer);
			callback();
		}, milliseconds);
		this.timers.add(timer);
	}

	/** Waits for a delay. Never resolves when the stand-in crashes or is disposed before. */
	protected async delay(milliseconds: number): Promise<void> {
		if (milliseconds <= 0) {
			return;
		}

		return new Promise((resolve) => {
			this.after(milliseconds, resolve);
		});
	}

	/** Closes the connection of a request without sending a response. */
	protected closeWithoutResponse(context: StandInContext): Response {
		context.env.incoming.socket.destroy();
		return RESPONSE_ALREADY_SENT;
	}

	/** Values that a test reads through the control endpoint. */
	protected abstract statistics(): Readonly<Record<string, unknown>>;

	private clearTimers(): void {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}

		this.timers.clear();
	}

	private addControlRoutes(): void {
		this.app.put('/stand-in/faults', async (context) => {
			this.setFaults(await context.req.json<Partial<FaultsInput>>());
			return context.json(this.faults);
		});
		this.app.delete('/stand-in/faults', (context) => {
			this.clearFaults();
			return context.json(this.faults);
		});
		this.app.get('/stand-in/statistics', (context) =>
			context.json(this.statistics()),
		);
		this.app.post('/stand-in/silence', (context) => {
			const controlSocket = context.env.incoming.socket;
			this.sockets.delete(controlSocket);
			this.silenceConnections();
			this.sockets.add(controlSocket);
			return context.json({});
		});
		this.app.post('/stand-in/break', (context) => {
			const controlSocket = context.env.incoming.socket;
			this.sockets.delete(controlSocket);
			this.breakConnections();
			this.sockets.add(controlSocket);
			return context.json({});
		});
		this.app.post('/stand-in/crash', (context) => {
			this.crash();
			return context.json({});
		});
	}

	private consumeResponseFault(
		context: StandInContext,
	): ResponseFault | undefined {
		const {method, path} = context.req;
		const fault = this.faults.answers.find(
			(candidate) =>
				candidate.remaining > 0 &&
				(candidate.method === undefined || candidate.method === method) &&
				path.startsWith(candidate.pathPrefix),
		);
		if (fault) {
			fault.remaining--;
		}

		return fault;
	}

	private async applyFaults(
		context: StandInContext,
		next: () => Promise<void>,
	): Promise<Response | undefined> {
		const {outage, crashOnText, answerDelayMilliseconds} = this.faults;
		if (outage === 'closed') {
			return this.closeWithoutResponse(context);
		}

		if (outage === 'unavailable') {
			return context.text('The service is unavailable.', 503);
		}

		if (crashOnText !== null) {
			const body = await context.req.text();
			if (body.includes(crashOnText)) {
				this.crash();
				return RESPONSE_ALREADY_SENT;
			}
		}

		const fault = this.consumeResponseFault(context);
		if (fault?.kind === 'request-lost') {
			return this.closeWithoutResponse(context);
		}

		await this.delay(answerDelayMilliseconds);
		await next();
		if (fault?.kind === 'answer-lost') {
			context.res = undefined;
			context.res = this.closeWithoutResponse(context);
			return;
		}

		if (fault?.kind === 'answer-late') {
			await this.delay(fault.delayMilliseconds);
		}

		return undefined;
	}
}
