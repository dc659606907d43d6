import {createServer, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono, type Context, type MiddlewareHandler} from 'hono';
import {v7 as uuid} from 'uuid';
import {z} from 'zod';
import {Disposable} from '../base/common/disposable.js';

/** The environment that hono hands to the handlers of a stand-in. */
export type StandInEnvironment = {Bindings: HttpBindings};

/** The context of one request to a stand-in. */
export type StandInContext = Context<StandInEnvironment>;

/** A fault of single answers: the request has no effect, or its answer is lost or late. */
export const responseFaultSchema = z.object({
	kind: z.enum(['request-lost', 'answer-lost', 'answer-late']),
	method: z.string().optional(),
	pathPrefix: z.string().default('/'),
	/** Number of requests that still meet the fault. */
	remaining: z.number().int().nonnegative().default(1),
	delayMilliseconds: z.number().nonnegative().default(0),
});
export type ResponseFault = z.infer<typeof responseFaultSchema>;

/** Faults that every stand-in can show. */
export const standInFaultsSchema = z.strictObject({
	/** `unavailable` answers 503, `closed` closes each connection on its first request. */
	outage: z.enum(['none', 'unavailable', 'closed']).default('none'),
	/** Multiplies all times of the stand-in. */
	slowFactor: z.number().positive().default(1),
	/** Delay of every answer. */
	answerDelayMilliseconds: z.number().nonnegative().default(0),
	/** A request whose body contains this text ends the process. */
	crashOnText: z.string().min(1).nullable().default(null),
	/** Time after a crash until a new incarnation listens. Null for never. */
	restartMilliseconds: z.number().nonnegative().nullable().default(null),
	answers: z.array(responseFaultSchema).default([]),
});
export type StandInFaults = z.infer<typeof standInFaultsSchema>;
export type StandInFaultsInput = z.input<typeof standInFaultsSchema>;

/** Address of a started stand-in. */
export type StandInAddress = {readonly address: string};

/** An HTTP server on 127.0.0.1 that stands in for an outside system and shows faults on request. */
export abstract class StandInServer<
	Faults extends StandInFaults = StandInFaults,
	FaultsInput extends object = StandInFaultsInput,
> extends Disposable {
	/** Faults in force. Tests change them with `setFaults`. */
	faults: Faults;
	/** Identity of the present run. Changes after a crash. */
	incarnation = uuid();
	/** Crashes so far, those that a new incarnation followed. */
	crashes = 0;
	/** Called instead of the simulated crash when no restart is set, for example to end the process. */
	crashHandler: (() => void) | undefined;
	/** Connections accepted since the start. */
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

	/** Listens on a port that the kernel chooses. */
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

	/** Changes some faults and keeps the others. */
	setFaults(changes: Partial<FaultsInput>): void {
		this.faults = this.faultsSchema.parse({...this.faults, ...changes});
		this.faultsChanged();
	}

	/** Switches all faults off. */
	clearFaults(): void {
		this.faults = this.faultsSchema.parse({});
		this.faultsChanged();
	}

	/** Makes all open connections silent for good. New connections work. */
	silenceConnections(): void {
		for (const socket of this.sockets) {
			this.silentSockets.add(socket);
			socket.pause();
			// The connection stays open on the network but nothing leaves on it any more.
			socket.write = () => false;
			socket.end = () => socket;
			socket.destroySoon = () => undefined;
		}
	}

	/** Breaks all open connections. */
	breakConnections(): void {
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Ends the present run: connections break, memory is lost, the port is closed. */
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

	/** Drops what a crashed process would have lost. */
	protected memoryLost(): void {
		// Most stand-ins keep their state, as their real counterparts store it elsewhere.
	}

	/** Called after the faults changed. */
	protected faultsChanged(): void {
		// Most stand-ins read the faults when they need them.
	}

	/** Runs a callback after a time, unless the stand-in stops before. */
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

	/** Waits for a time. Never resolves when the stand-in stops before. */
	protected async delay(milliseconds: number): Promise<void> {
		if (milliseconds <= 0) {
			return;
		}

		return new Promise((resolve) => {
			this.after(milliseconds, resolve);
		});
	}

	/** Closes the connection of a request without an answer. */
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
			const own = context.env.incoming.socket;
			this.sockets.delete(own);
			this.silenceConnections();
			this.sockets.add(own);
			return context.json({});
		});
		this.app.post('/stand-in/break', (context) => {
			const own = context.env.incoming.socket;
			this.sockets.delete(own);
			this.breakConnections();
			this.sockets.add(own);
			return context.json({});
		});
		this.app.post('/stand-in/crash', (context) => {
			this.crash();
			return context.json({});
		});
	}

	private takeAnswerFault(context: StandInContext): ResponseFault | undefined {
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
			return context.text('out of service', 503);
		}

		if (crashOnText !== null) {
			const body = await context.req.text();
			if (body.includes(crashOnText)) {
				this.crash();
				return RESPONSE_ALREADY_SENT;
			}
		}

		const fault = this.takeAnswerFault(context);
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
