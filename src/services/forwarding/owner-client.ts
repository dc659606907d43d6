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

/** Options of the client. */
export type OwnerClientOptions = {
	readonly host: HostId;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** The holder that the log names. */
	readonly holder: () => LeaseHolder | undefined;
	/** The owner in this process, which is asked without a call. */
	readonly localOwner: PlacementOwner;
	readonly isLocalOwner: () => boolean;
	readonly demand: () => HostDemand;
	/** The owner said something of its lease. */
	readonly onLeaseStatusReceived: (lease: LeaseStatus) => void;
};

/** What the owner answered. */
export type OwnerUpdate = {
	readonly contents: readonly PlacedContent[];
	readonly hosts: readonly HostId[];
	/** Requests that no target may run. */
	readonly quarantined: readonly Fingerprint[];
};

/** The call to the owner failed. */
export class OwnerCallError extends Error {
	override readonly name = 'OwnerCallError';
}

/** Time for an answer, beyond the time that the owner holds it. */
const callMilliseconds = 600;
const retryMilliseconds = 100;
/** Time since the last answer up to which the owner counts as alive. */
const heardMilliseconds = 900;
/** Reports about newly wanted adapters are at least this far apart. */
const urgentMilliseconds = 5;

/** Tells the owner the demand of this host and takes in what the targets hold. */
export class OwnerClient extends Disposable {
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
	private heardAt = Number.NEGATIVE_INFINITY;
	private isUrgentPlanned = false;
	private wasReachable = true;
	private localVersion = -1;

	constructor(private readonly options: OwnerClientOptions) {
		super();
	}

	/** True when the owner has answered lately. */
	isOwnerResponsive(): boolean {
		return this.options.clock.monotonic() - this.heardAt < heardMilliseconds;
	}

	/** Reports until disposed. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		while (!signal.aborted) {
			if (this.options.isLocalOwner()) {
				this.reportLocally();
				await wait(retryMilliseconds, signal);
				continue;
			}

			const isAnswered = await this.report();
			this.noteReachable(isAnswered);
			if (!isAnswered) {
				await wait(retryMilliseconds, signal);
			}
		}
	}

	/** Reports soon, because a request waits for an adapter that no target holds. */
	scheduleReport(): void {
		if (this.isUrgentPlanned) {
			return;
		}

		this.isUrgentPlanned = true;
		setTimeout(() => {
			this.isUrgentPlanned = false;
			if (this.options.isLocalOwner()) {
				this.reportLocally();
			} else {
				void this.report();
			}
		}, urgentMilliseconds);
	}

	dispose(): void {
		this.abort.abort();
		this.agent.destroy();
	}

	private reportLocally(): void {
		const {localOwner: local, demand} = this.options;
		local.applyDemand(demand());
		this.wasReachable = true;
		if (this.localVersion !== local.version) {
			this.localVersion = local.version;
			this.updateReceived.publish({
				contents: local.contents(),
				hosts: local.hosts(),
				quarantined: local.quarantined(),
			});
		}
	}

	private async report(): Promise<boolean> {
		const {holder, demand, host} = this.options;
		const owner = holder();
		if (!owner || owner.host === host) {
			return false;
		}

		const calls = this.clientOf(owner.peerAddress);
		const response = await ResultAsync.fromPromise(
			calls.report(
				toReportRequest(demand(), {
					owner: this.knownOwner,
					version: this.knownVersion,
				}),
				{timeoutMs: callMilliseconds},
			),
			(cause) => new OwnerCallError('the owner did not answer', {cause}),
		);
		if (response.isErr()) {
			return false;
		}

		const {lease} = response.value;
		if (lease) {
			this.options.onLeaseStatusReceived(fromLeaseState(lease));
		}

		if (!response.value.isOwner) {
			this.heardAt = Number.NEGATIVE_INFINITY;
			return false;
		}

		this.takeIn(response.value);
		return true;
	}

	private takeIn(response: ReportResponse): void {
		this.heardAt = this.options.clock.monotonic();
		const version = Number(response.version);
		const isNew =
			response.owner !== this.knownOwner || version > this.knownVersion;
		// Answers of concurrent calls may overtake each other.
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

	private clientOf(address: string): Client<typeof OwnerService> {
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

	private noteReachable(isReachable: boolean): void {
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
