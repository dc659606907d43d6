import {createServer, type Server} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type Result} from 'neverthrow';
import {Disposable} from '../../base/common/disposable.js';
import {listenOn, type ListenError} from '../../base/node/listen.js';
import {
	OwnerService,
	type ReportRequest,
} from '../../generated/daisylever/owner/v1/owner_pb.js';
import {type LeaseStatus} from '../../core/owner-lease.js';
import {
	fromReportRequest,
	toLeaseField,
	toTargetContent,
} from './owner-messages.js';
import {type PlacementOwner} from './placement-owner.js';

/** Options of the server. */
export type OwnerServerOptions = {
	readonly owner: PlacementOwner;
	/** Name of this process, under which its versions count. */
	readonly name: string;
	/** True while this host holds the lease. */
	readonly isOwner: () => boolean;
	/** The lease that this host holds or held last. */
	readonly lease: () => LeaseStatus | undefined;
};

/** An answer without news is sent after this time, so that the caller hears that the owner lives. */
const holdMilliseconds = 250;
/** Changes within this time go out in one answer. */
const gatherMilliseconds = 4;

/** Answers the reports of the other hosts while this host owns placement. */
export class OwnerServer extends Disposable {
	private readonly server: Server;
	private readonly waiters = new Set<() => void>();
	private isGathering = false;

	constructor(private readonly options: OwnerServerOptions) {
		super();
		this.server = createServer(
			connectNodeAdapter({
				routes: (router) => {
					router.service(OwnerService, {
						report: async (request) => this.report(request),
					});
				},
			}),
		);
		options.owner.contentsChanged.subscribe(() => {
			if (this.isGathering) {
				return;
			}

			this.isGathering = true;
			setTimeout(() => {
				this.isGathering = false;
				this.wakeAll();
			}, gatherMilliseconds);
		});
	}

	async listen(
		port: number,
		hostname: string,
	): Promise<Result<number, ListenError>> {
		return listenOn(this.server, port, hostname);
	}

	dispose(): void {
		this.wakeAll();
		this.server.close();
		this.server.closeAllConnections();
	}

	private async report(request: ReportRequest) {
		const {owner, name, isOwner, lease} = this.options;
		if (!isOwner()) {
			return {isOwner: false, owner: name, ...toLeaseField(lease())};
		}

		owner.applyDemand(fromReportRequest(request));
		const isKnown = () =>
			request.knownOwner === name &&
			Number(request.knownVersion) === owner.version;
		if (isKnown()) {
			await this.waitForNews();
		}

		return {
			isOwner: isOwner(),
			owner: name,
			version: BigInt(owner.version),
			hosts: owner.hosts(),
			quarantined: [...owner.quarantined()],
			targets: isKnown() ? [] : owner.contents().map(toTargetContent),
			...toLeaseField(lease()),
		};
	}

	private async waitForNews(): Promise<void> {
		await new Promise<void>((resolve) => {
			const wake = () => {
				clearTimeout(timer);
				this.waiters.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, holdMilliseconds);
			this.waiters.add(wake);
		});
	}

	private wakeAll(): void {
		for (const wake of this.waiters) {
			wake();
		}
	}
}
