import {z} from 'zod';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

const fetchSchema = z.object({
	artifact: z.string(),
	kind: z.enum(['model', 'adapter']),
});

/** Options of the weight store stand-in. */
export type WeightStoreServerOptions = {
	/** Number of model loads that can start per second. Further ones are delayed. */
	readonly loadsPerSecond?: number;
	/** Number of concurrent model loads that run at full speed. */
	readonly concurrentLoads?: number;
	/** Duration of one model load at full speed. */
	readonly modelMilliseconds?: number;
	/** Number of concurrent adapter loads that run at full speed. */
	readonly concurrentAdapterLoads?: number;
	/** Duration of one adapter load at full speed. */
	readonly adapterMilliseconds?: number;
};

/** Stand-in for the weight store, which limits the rate of model loads and slows loads down beyond a concurrency limit. */
export class WeightStoreServer extends StandInServer {
	/** Number of completed loads by kind. */
	readonly loads = {model: 0, adapter: 0};
	/** Highest number of concurrent loads by kind. */
	readonly highestInFlight = {model: 0, adapter: 0};
	private readonly inFlight = {model: 0, adapter: 0};
	private readonly limits: Required<WeightStoreServerOptions>;
	private nextStartTime = 0;

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
			const utilization =
				this.inFlight.adapter / this.limits.concurrentAdapterLoads;
			return (
				this.limits.adapterMilliseconds * Math.max(1, utilization) * slowFactor
			);
		}

		const now = performance.now();
		const startTime = Math.max(now, this.nextStartTime);
		this.nextStartTime = startTime + 1000 / this.limits.loadsPerSecond;
		const utilization = this.inFlight.model / this.limits.concurrentLoads;
		return (
			startTime -
			now +
			this.limits.modelMilliseconds * Math.max(1, utilization) * slowFactor
		);
	}
}
