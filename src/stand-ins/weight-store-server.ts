import {z} from 'zod';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

const fetchSchema = z.object({
	artifact: z.string(),
	kind: z.enum(['model', 'adapter']),
});

/** Settings of the weight store stand-in. */
export type WeightStoreServerOptions = {
	/** Model loads that may start per second. Later ones wait. */
	readonly loadsPerSecond?: number;
	/** Model loads that run at full speed together. */
	readonly concurrentLoads?: number;
	/** Time of one model load at full speed. */
	readonly modelMilliseconds?: number;
	/** Adapter loads that run at full speed together. */
	readonly concurrentAdapterLoads?: number;
	/** Time of one adapter load at full speed. */
	readonly adapterMilliseconds?: number;
};

/** Stand-in for the weight store: a rate limit, and loads that slow each other down beyond a number. */
export class WeightStoreServer extends StandInServer {
	/** Loads that took place, by kind. */
	readonly loads = {model: 0, adapter: 0};
	/** Most loads in flight at a time, by kind. */
	readonly highestInFlight = {model: 0, adapter: 0};
	private readonly inFlight = {model: 0, adapter: 0};
	private readonly limits: Required<WeightStoreServerOptions>;
	private nextStart = 0;

	constructor(options: WeightStoreServerOptions = {}) {
		super(standInFaultsSchema);
		this.limits = {
			loadsPerSecond: 1.5,
			concurrentLoads: 5,
			modelMilliseconds: 500,
			concurrentAdapterLoads: 40,
			adapterMilliseconds: 8,
			...options,
		};
		this.app.get('/status', (context) =>
			context.json({
				inFlight: this.inFlight.model + this.inFlight.adapter,
				available: true,
			}),
		);
		this.app.post('/fetch', async (context) => {
			const body = fetchSchema.safeParse(await context.req.json());
			if (!body.success) {
				return context.text(z.prettifyError(body.error), 400);
			}

			await this.load(body.data.kind);
			return context.json({artifact: body.data.artifact});
		});
	}

	protected override statistics(): Readonly<Record<string, unknown>> {
		return {
			loads: this.loads,
			inFlight: this.inFlight,
			highestInFlight: this.highestInFlight,
		};
	}

	private async load(kind: 'model' | 'adapter'): Promise<void> {
		this.inFlight[kind]++;
		this.highestInFlight[kind] = Math.max(
			this.highestInFlight[kind],
			this.inFlight[kind],
		);
		await this.delay(this.loadMilliseconds(kind));
		this.inFlight[kind]--;
		this.loads[kind]++;
	}

	private loadMilliseconds(kind: 'model' | 'adapter'): number {
		const {slowFactor} = this.faults;
		if (kind === 'adapter') {
			const crowding =
				this.inFlight.adapter / this.limits.concurrentAdapterLoads;
			return (
				this.limits.adapterMilliseconds * Math.max(1, crowding) * slowFactor
			);
		}

		const now = performance.now();
		const start = Math.max(now, this.nextStart);
		this.nextStart = start + 1000 / this.limits.loadsPerSecond;
		const crowding = this.inFlight.model / this.limits.concurrentLoads;
		return (
			start -
			now +
			this.limits.modelMilliseconds * Math.max(1, crowding) * slowFactor
		);
	}
}
