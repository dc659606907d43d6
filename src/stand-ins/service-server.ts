import {z} from 'zod';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

/** Faults of a plain service. */
export const serviceFaultsSchema = standInFaultsSchema.extend({
	/** Refuses all work and announces that it leaves. */
	leaving: z.boolean().default(false),
	/** Refuses all work as busy. */
	busy: z.boolean().default(false),
});
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

/** Settings of the plain service stand-in. */
export type ServiceServerOptions = {
	/** Time that one call takes. */
	readonly callMilliseconds?: number;
	/** Calls that the report names as worked on at a time. */
	readonly slots?: number;
	/** Answers a call. Echoes an acceptance by default. */
	readonly respond?: (call: {
		readonly method: string;
		readonly path: string;
		readonly body: string;
	}) => {readonly status: number; readonly body: unknown};
};

const defaultSlots = 64;

/** Stand-in for a plain service: bookings that must not be repeated, and status reads. */
export class ServiceServer extends StandInServer<
	ServiceFaults,
	z.input<typeof serviceFaultsSchema>
> {
	/** Executions of each marker, which a test writes as `marker=<text>` in a body or path. */
	readonly executions = new Map<string, number>();
	/** Executions of calls that change something. */
	bookings = 0;
	/** Executions of reads. */
	statusReads = 0;
	private inFlight = 0;
	private sequence = 0;

	constructor(private readonly options: ServiceServerOptions = {}) {
		super(serviceFaultsSchema);
		this.app.get('/report', (context) =>
			context.json({
				incarnation: this.incarnation,
				sequence: this.sequence,
				leaving: this.faults.leaving,
				running: this.inFlight,
				queued: 0,
				slots: options.slots ?? defaultSlots,
			}),
		);
		this.app.all('*', async (context) => {
			const refusal = this.refusal();
			if (refusal) {
				return context.json(
					{refusal, message: `the service is ${refusal}`},
					503,
					{'target-refusal': refusal},
				);
			}

			const body = await context.req.text();
			const {method} = context.req;
			const path = context.req.url.slice(
				new URL(context.req.url).origin.length,
			);
			this.inFlight++;
			this.sequence++;
			await this.delay(
				(this.options.callMilliseconds ?? 0) * this.faults.slowFactor,
			);
			this.inFlight--;
			this.sequence++;
			this.countExecution(method, path, body);
			const response = this.options.respond?.({method, path, body}) ?? {
				status: method === 'GET' ? 200 : 201,
				body: {method, path, accepted: true},
			};
			return Response.json(response.body, {status: response.status});
		});
	}

	/** Largest number of executions of one marker. */
	get highestExecutions(): number {
		return Math.max(0, ...this.executions.values());
	}

	protected override statistics(): Readonly<Record<string, unknown>> {
		return {
			executions: Object.fromEntries(this.executions),
			bookings: this.bookings,
			statusReads: this.statusReads,
			inFlight: this.inFlight,
		};
	}

	protected override faultsChanged(): void {
		this.sequence++;
	}

	private refusal(): 'leaving' | 'busy' | undefined {
		if (this.faults.leaving) {
			return 'leaving';
		}

		return this.faults.busy ? 'busy' : undefined;
	}

	private countExecution(method: string, path: string, body: string): void {
		if (method === 'GET') {
			this.statusReads++;
		} else {
			this.bookings++;
		}

		const marker = /marker=([\w-]+)/.exec(`${path}\n${body}`)?.[1];
		if (marker !== undefined) {
			this.executions.set(marker, (this.executions.get(marker) ?? 0) + 1);
		}
	}
}
