import {type HostListEntry} from '../contracts/host-list.js';
import {StandInServer, standInFaultsSchema} from './stand-in-server.js';

/** Settings of the host list stand-in. */
export type HostListServerOptions = {
	readonly entries?: readonly HostListEntry[];
	/** Time until a change shows in answers. */
	readonly lagMilliseconds?: number;
};

/** Stand-in for the platform's host list. Changes show after a lag. */
export class HostListServer extends StandInServer {
	/** The list as it is answered now. */
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

	/** Replaces the list after the lag. */
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
