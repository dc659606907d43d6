import {type HostListEntry} from '../contracts/host-list.js';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

/** Options of the host list stand-in. */
export type HostListServerOptions = {
	/** Initial list. Empty by default. */
	readonly entries?: readonly HostListEntry[];
	/** Delay until a change appears in responses. Zero by default. */
	readonly lagMilliseconds?: number;
};

/** Stand-in for the host list of the platform. Changes appear in responses after a configurable delay. */
export class HostListServer extends StandInServer {
	/** The list that reads currently return. */
	published: readonly HostListEntry[];
	private reads = 0;

	constructor(private readonly options: HostListServerOptions = {}) {
		super(standInFaultsSchema);
		this.published = options.entries ?? [];
		this.app.get('/hosts', (context) => {
			this.reads++;
			return context.json({hosts: this.published});
		});
		this.app.put('/hosts', async (context) => {
			const {hosts} = await context.req.json<{hosts: HostListEntry[]}>();
			this.publish(hosts);
			return context.json({});
		});
	}

	/** Replaces the list after the configured delay. */
	publish(entries: readonly HostListEntry[]): void {
		const lag = this.options.lagMilliseconds ?? 0;
		if (lag === 0) {
			this.published = entries;
			return;
		}

		this.after(lag, () => {
			this.published = entries;
		});
	}

	protected override statistics(): Readonly<Record<string, unknown>> {
		return {reads: this.reads};
	}
}
