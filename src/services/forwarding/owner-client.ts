import {Agent} from 'node:http';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ResultAsync} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {wait} from '../../base/node/wait.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {type Fingerprint, type HostId} from '../../contracts/ids.js';
import {type LeaseStatus, type LeaseHolder} from '../../core/owner-lease.js';
import {
	OwnerService,
	type ReportResponse,
} from '../../generated/daisylever/owner/v1/owner_pb.js';
import {type HostDemand} from './host-demand.js';
import {
	fromLeaseState,
	fromTargetContent,
	toReportRequest,
} from './owner-messages.js';
import {type PlacementOwner} from './placement-owner.js';
import {type PlacedContent} from './target-registry.js';

/** Options of the owner client. */
export type OwnerClientOptions = {
	readonly host: HostId;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** The lease holder according to the lease log. */
	readonly holder: () => LeaseHolder | undefined;
	/** The owner in this process, which is called directly. */
	readonly localOwner: PlacementOwner;
	/** True while this host holds the owner lease. */
	readonly isLocalOwner: () => boolean;
	/** Returns the demand to report. */
	readonly demand: () => HostDemand;
	/** Called with the lease status that a response of the owner contains. */
	readonly onLeaseStatusReceived: (lease: LeaseStatus) => void;
};

/** Update that the owner sends in its response. */
export type OwnerUpdate = {
	/** Contents of all targets, or none when they have not changed. */
	readonly contents: readonly PlacedContent[];
	/** Hosts that have reported recently. */
	readonly hosts: readonly HostId[];
	/** Fingerprints of requests that no target may execute. */
	readonly quarantined: readonly Fingerprint[];
};

/** The call to the owner failed. */
export class OwnerCallError extends Error {
	override readonly name = 'OwnerCallError';
}

/** Timeout of a call, longer than the time for which the owner holds a response. */
const callTimeoutMilliseconds = 600;
const retryDelayMilliseconds = 100;
/** Time since the last response up to which the owner counts as responsive. */
const responsiveMilliseconds = 900;
/** Delay of a report about a missing adapter, in which further ones are combined with it. */
const scheduledReportDelayMilliseconds = 5;

/** Reports the demand of this host to the owner and publishes the updates that the owner returns. */
export class OwnerClient extends Disposable {
	/** An update was received, or changed in the owner of this process. */
	readonly updateReceived = new TypedEvent<OwnerUpdate>();
	private readonly abort = new AbortController();
	private readonly agent = new Agent({keepAlive: true, maxSockets: 4});
	private client:
		| {
				readonly address: string;
				readonly calls: Client<typeof OwnerService>;
		  }
		| undefined;

	private knownOwner = '';
	private knownVersion = 0;
	private lastResponseAt = Number.NEGATIVE_INFINITY;
	private isReportScheduled = false;
	private wasReachable = true;
	private publishedLocalVersion = -1;

	constructor(private readonly options: OwnerClientOptions) {
		super();
	}

	/** True when the owner has responded recently. */
	isOwnerResponsive(): boolean {
		return (
			this.options.clock.monotonic() - this.lastResponseAt <
			responsiveMilliseconds
		);
	}

	/** Reports continuously until disposed. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		while (!signal.aborted) {
			if (this.options.isLocalOwner()) {
				this.reportLocally();
				await wait(retryDelayMilliseconds, signal);
				continue;
			}

			const hasResponded = await this.report();
			this.recordReachability(hasResponded);
			if (!hasResponded) {
				await wait(retryDelayMilliseconds, signal);
			}
		}
	}

	/** Schedules a report outside the regular sequence, because a request waits for an adapter that no target holds. */
	scheduleReport(): void {
		if (this.isReportScheduled) {
			return;
		}

		this.isReportScheduled = true;
		setTimeout(() => {
			this.isReportScheduled = false;
			if (this.options.isLocalOwner()) {
				this.reportLocally();
			} else {
				void this.report();
			}
		}, scheduledReportDelayMilliseconds);
	}

	dispose(): void {
		this.abort.abort();
		this.agent.destroy();
	}

	private reportLocally(): void {
		const {localOwner, demand} = this.options;
		localOwner.applyDemand(demand());
		this.wasReachable = true;
		if (this.publishedLocalVersion !== localOwner.version) {
			this.publishedLocalVersion = localOwner.version;
			this.updateReceived.publish({
				contents: localOwner.contents(),
				hosts: localOwner.hosts(),
				quarantined: localOwner.quarantined(),
			});
		}
	}

	private async report(): Promise<boolean> {
		const {holder, demand, host} = this.options;
		const owner = holder();
		if (!owner || owner.host === host) {
			return false;
		}

		const calls = this.getClient(owner.peerAddress);
		const response = await ResultAsync.fromPromise(
			calls.report(
				toReportRequest(demand(), {
					owner: this.knownOwner,
					version: this.knownVersion,
				}),
				{timeoutMs: callTimeoutMilliseconds},
			),
			(cause) => new OwnerCallError('the owner did not respond', {cause}),
		);
		if (response.isErr()) {
			return false;
		}

		const {lease} = response.value;
		if (lease) {
			this.options.onLeaseStatusReceived(fromLeaseState(lease));
		}

		if (!response.value.isOwner) {
			this.lastResponseAt = Number.NEGATIVE_INFINITY;
			return false;
		}

		this.applyResponse(response.value);
		return true;
	}

	private applyResponse(response: ReportResponse): void {
		this.lastResponseAt = this.options.clock.monotonic();
		const version = Number(response.version);
		const isNew =
			response.owner !== this.knownOwner || version > this.knownVersion;
		// Responses to concurrent calls may arrive out of order.
		if (isNew) {
			this.knownOwner = response.owner;
			this.knownVersion = version;
		}

		this.updateReceived.publish({
			contents: isNew ? response.targets.map(fromTargetContent) : [],
			hosts: response.hosts as HostId[],
			quarantined: response.quarantined as Fingerprint[],
		});
	}

	private getClient(address: string): Client<typeof OwnerService> {
		if (this.client?.address !== address) {
			this.client = {
				address,
				calls: createClient(
					OwnerService,
					createConnectTransport({
						baseUrl: `http://${address}`,
						httpVersion: '1.1',
						nodeOptions: {agent: this.agent},
					}),
				),
			};
		}

		return this.client.calls;
	}

	private recordReachability(isReachable: boolean): void {
		if (this.wasReachable && !isReachable && !this.isOwnerResponsive()) {
			this.wasReachable = false;
			this.options.events.record(forwardingEvents.ownerUnreachable, {
				owner: this.options.holder()?.host,
			});
		} else if (isReachable) {
			this.wasReachable = true;
		}
	}
}
