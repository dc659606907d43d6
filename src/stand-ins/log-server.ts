import {z} from 'zod';
import {recordIdSchema} from '../contracts/ids.js';
import {type LogBatch} from '../contracts/log-service.js';
import {LogStore} from './log-store.js';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

const appendSchema = z.object({
	records: z.array(z.object({id: recordIdSchema, body: z.unknown()})).min(1),
});

/** Options of the log stand-in. */
export type LogServerOptions = {
	/** Store of the records, which can be shared with a later server. A new store by default. */
	readonly store?: LogStore;
	/** Number of appends accepted in one second before the service responds with status 429. No limit by default. */
	readonly appendsPerSecond?: number;
};

/** Stand-in for the log service: append-only streams with offsets, long polling and retention. */
export class LogServer extends StandInServer {
	/** Store of the records. */
	readonly store: LogStore;
	/** Number of successful appends. */
	appends = 0;
	/** Number of completed reads, including long polls. */
	reads = 0;
	private generation = 1;
	private windowStart = 0;
	private windowAppends = 0;

	constructor(private readonly options: LogServerOptions = {}) {
		super(standInFaultsSchema);
		this.store = options.store ?? new LogStore();
		this.addRoutes();
	}

	/** Removes the records after the given number of each stream, as a service does that is restored from a copy. */
	restore(lengths: Readonly<Record<string, number>>): void {
		this.store.truncateTo(lengths);
		this.generation++;
	}

	protected override statistics(): Readonly<Record<string, unknown>> {
		return {
			appends: this.appends,
			reads: this.reads,
			claimRecords: this.store.bounds('claims').next,
		};
	}

	private addRoutes(): void {
		this.app.use('/streams/*', async (context, next) => {
			await next();
			context.header('Log-Generation', String(this.generation));
		});
		this.app.post('/streams/:name/records', async (context) => {
			const body = appendSchema.safeParse(await context.req.json());
			if (!body.success) {
				return context.text(z.prettifyError(body.error), 400);
			}

			if (!this.admitAppend()) {
				return context.text(
					'The limit of appends per second is exceeded.',
					429,
				);
			}

			const first = this.store.append(
				context.req.param('name'),
				body.data.records,
			);
			this.appends++;
			return context.json({first});
		});
		this.app.get('/streams/:name/records', async (context) => {
			const name = context.req.param('name');
			const from = Number(context.req.query('from') ?? 0);
			const limit = Number(context.req.query('limit') ?? 100);
			const wait = Number(context.req.query('wait') ?? 0);
			const batch = await this.readOrWait(name, {from, limit, wait});
			this.reads++;
			return batch
				? context.json(batch)
				: context.json({earliest: this.store.bounds(name).earliest}, 410);
		});
		this.app.get('/streams/:name/bounds', (context) =>
			context.json(this.store.bounds(context.req.param('name'))),
		);
	}

	private admitAppend(): boolean {
		const limit = this.options.appendsPerSecond;
		if (limit === undefined) {
			return true;
		}

		const now = performance.now();
		if (now - this.windowStart >= 1000) {
			this.windowStart = now;
			this.windowAppends = 0;
		}

		this.windowAppends++;
		return this.windowAppends <= limit;
	}

	private async readOrWait(
		name: string,
		range: {
			readonly from: number;
			readonly limit: number;
			readonly wait: number;
		},
	): Promise<LogBatch | undefined> {
		const batch = this.store.read(name, range.from, range.limit);
		if (!batch || batch.records.length > 0 || range.wait <= 0) {
			return batch;
		}

		await new Promise<void>((resolve) => {
			const subscription = this.store.streamGrown.subscribe((stream) => {
				if (stream === name) {
					finish();
				}
			});
			const finish = () => {
				void subscription.dispose();
				resolve();
			};

			this.after(range.wait, finish);
		});
		return this.store.read(name, range.from, range.limit);
	}
}
