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

/** Options of the owner server. */
export type OwnerServerOptions = {
	/** The placement owner of this process. */
	readonly owner: PlacementOwner;
	/** Name of this process. The versions of its contents are valid together with this name only. */
	readonly name: string;
	/** True while this host holds the owner lease. */
	readonly isOwner: () => boolean;
	/** Status of the lease that this host holds or held last. */
	readonly lease: () => LeaseStatus | undefined;
};

/** Time after which a response without changes is sent, so that the reporting host sees that the owner is alive. */
const responseHoldMilliseconds = 250;
/** Changes within this time are combined in one response. */
const batchDelayMilliseconds = 4;

/** Responds to the reports of the other hosts. While this host owns placement, the response to a host that has the current version is held until a change (long polling). */
export class OwnerServer extends Disposable {
	private readonly server: Server;
	private readonly waiters = new Set<() => void>();
	private isBatching = false;

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
			if (this.isBatching) {
				return;
			}

			this.isBatching = true;
			setTimeout(() => {
				this.isBatching = false;
				this.wakeAll();
			}, batchDelayMilliseconds);
		});
	}

	/** Starts listening and returns the port. */
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
		const isUpToDate = () =>
			request.knownOwner === name &&
			Number(request.knownVersion) === owner.version;
		if (isUpToDate()) {
			await this.waitForChange();
		}

		return {
			isOwner: isOwner(),
			owner: name,
			version: BigInt(owner.version),
			hosts: owner.hosts(),
			quarantined: [...owner.quarantined()],
			targets: isUpToDate() ? [] : owner.contents().map(toTargetContent),
			...toLeaseField(lease()),
		};
	}

	private async waitForChange(): Promise<void> {
		await new Promise<void>((resolve) => {
			const wake = () => {
				clearTimeout(timer);
				this.waiters.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, responseHoldMilliseconds);
			this.waiters.add(wake);
		});
	}

	private wakeAll(): void {
		for (const wake of this.waiters) {
			wake();
		}
	}
}
