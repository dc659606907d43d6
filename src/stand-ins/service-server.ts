import {z} from 'zod';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

/** Faults that a plain service stand-in can inject. */
export const serviceFaultsSchema = standInFaultsSchema.extend({
	/** Refuses all calls and reports that the service is leaving. */
	leaving: z.boolean().default(false),
	/** Refuses all calls as busy. */
	busy: z.boolean().default(false),
});
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;

/** Options of the plain service stand-in. */
export type ServiceServerOptions = {
	/** Duration of one call. Zero by default. */
	readonly callMilliseconds?: number;
	/** Number of concurrent calls that the report states as the capacity. The stand-in does not enforce it. */
	readonly slots?: number;
	/** Creates the response to a call. By default, it repeats the method and path and marks the call as accepted. */
	readonly respond?: (call: {
		readonly method: string;
		readonly path: string;
		readonly body: string;
	}) => {readonly status: number; readonly body: unknown};
};

const defaultSlots = 64;

/** Stand-in for a plain service that counts the executions of bookings, which must not be repeated, and of reads. */
export class ServiceServer extends StandInServer<
	ServiceFaults,
	z.input<typeof serviceFaultsSchema>
> {
	/** Number of executions by marker, which a test writes as `marker=<text>` into a body or path. */
	readonly executions = new Map<string, number>();
	/** Number of executed calls with a method other than GET. */
	bookings = 0;
	/** Number of executed GET calls. */
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
					{refusal, message: `The service refused the call: ${refusal}.`},
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

	/** Highest number of executions of a single marker. */
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
