import {Agent} from 'node:http';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ResultAsync, type Result} from 'neverthrow';
import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {wait} from '../../../base/node/wait.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {type DocumentChange} from '../../../contracts/shared-store.js';
import {isHostAddress} from '../../../contracts/target-address.js';
import {
	type FailureDomain,
	type HostId,
	type RequestId,
	type SoftwareVersion,
	type TargetId,
} from '../../../contracts/ids.js';
import {type TargetListChange} from '../../../contracts/listed-target.js';
import {type BrittleTargets} from '../../../core/limits/brittle-targets.js';
import {type HostDemand} from '../../../core/placement/host-demand.js';
import {LogLimiter} from '../../../core/limits/log-limiter.js';
import {type LeavingTarget} from '../../../core/routing/leaving-targets.js';
import {
	type LeaseStatus,
	type LeaseHolder,
} from '../../../core/leases/owner-lease.js';
import {type NamedRateLimits} from '../../../core/limits/named-rate-limits.js';
import {type PermitDemand} from '../../../core/limits/permit-book.js';
import {type PermitGrant} from '../../../core/limits/permit-issuer.js';
import {receivedAge} from '../../../core/membership/received-age.js';
import {
	ReportRoute,
	type ReportDestination,
} from '../../../core/membership/report-route.js';
import {streamLifetimeMilliseconds} from '../../../core/streams/stream-origins.js';
import {
	OwnerService,
	type ReportResponse,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {type CrashObserver} from '../targets/crash-observer.js';
import {type PlacementOwner} from '../owner/placement-owner.js';
import {type StreamOriginSharing} from '../state/stream-origin-sharing.js';
import {type PlacedContent} from '../targets/target-registry.js';
import {
	fromDocumentField,
	fromPeerAddresses,
	fromLeaseState,
	fromRateChange,
	fromTargetContent,
	fromTargetListUpdate,
	toReportRequest,
	toTargetRate,
} from './report-messages.js';
import {type ReportFields, type ReportPart} from './report-part.js';
import {type RelayedState} from './report-server.js';
import {ObservationExchange} from './observation-exchange.js';

/** Options of the report client. */
export type ReportClientOptions = {
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	/** `host:port` at which other hosts can report to this one. */
	readonly peerAddress: string;
	/** Processor share of this machine. */
	readonly capacity: number;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** The lease holder according to the lease log. */
	readonly holder: () => LeaseHolder | undefined;
	/** The owner in this process, which is called directly. */
	readonly localOwner: PlacementOwner;
	/** True while this host holds the owner lease. */
	readonly isLocalOwner: () => boolean;
	readonly crashes: CrashObserver;
	readonly limits: NamedRateLimits;
	readonly brittle: BrittleTargets;
	readonly streams: StreamOriginSharing;
	/** Targets that said in an answer lately that they leave. */
	readonly leavingTargets: () => readonly LeavingTarget[];
	/** Returns the demand to report. */
	readonly demand: () => HostDemand;
	/** The document in force, undefined before the first one. */
	readonly document: () => ForwardingDocument | undefined;
	/** True when this host cannot read the newer document of the host to which it reports from the store. */
	readonly needsDocument: () => boolean;
	/** Addresses of the hosts that report to this one. */
	readonly peerAddresses: () => readonly string[];
	/** Called with the lease status that a response of the owner contains. */
	readonly onLeaseStatusReceived: (lease: LeaseStatus) => void;
	/** Further subjects of the reports. */
	readonly parts?: readonly ReportPart[];
	/** Applies the shared state in a response. Returns false for a state that is older than the one of this host. */
	readonly applyUpdate: (update: FleetUpdate) => boolean;
};

/** Shared state that the owner or a relay sends in its response. */
export type FleetUpdate = RelayedState & {
	readonly contents: readonly PlacedContent[];
	/** Changes of the target list, undefined when the owner is in this process. */
	readonly targetList:
		| {
				readonly changes: readonly TargetListChange[];
				readonly isComplete: boolean;
				readonly position: number;
				/** Longest time since the list was read from the store. */
				readonly ageMilliseconds: number;
		  }
		| undefined;
	/** Position up to which the log of the document was read. */
	readonly documentPosition: number;
	/** Time since the start of the read of the store that confirmed the document, undefined if the sender does not tell. */
	readonly documentConfirmationAgeMilliseconds: number | undefined;
	/** Version of the document in force on the sender, 0 for none. */
	readonly documentVersion: number;
	/** The document in force, sent to a host that cannot read it from the store. */
	readonly document: DocumentChange | undefined;
};

/** The call to the owner or a relay failed. */
export class ReportCallError extends Error {
	override readonly name = 'ReportCallError';
}

/** Timeout of a call, longer than the time for which a response is held. In a fleet with relays, whose machines may be weak, the interval of the reports is added. */
const callTimeoutMilliseconds = 600;
const retryDelayMilliseconds = 100;
/** Time within which a host that issues permits responds, in which the requests that wait for them can still meet their objective. */
const permitTimeoutMilliseconds = 150;
/** Time within which a host says whether it knows a stream. Its caller waits for the next event. */
const findStreamTimeoutMilliseconds = 150;
/** Time since the last word of the owner up to which it counts as responsive, in addition to two intervals of the reports. */
const responsiveMilliseconds = 900;
/** Interval of the reports until the owner states another one. All hosts of a fleet may start together. */
const initialReportIntervalMilliseconds = 500;
/** Characters of the reason in a log line. */
const maximumReasonLength = 300;
/** Delay of a report about a missing adapter, in which further ones are combined with it. */
const scheduledReportDelayMilliseconds = 5;

/** Reports the demand of this host to the owner or to its relay, and applies the shared state that the response contains. */
export class ReportClient extends Disposable {
	private readonly abort = new AbortController();
	private readonly agent = new Agent({keepAlive: true, maxSockets: 4});
	private readonly clients = new Map<string, Client<typeof OwnerService>>();
	private readonly route: ReportRoute;
	private readonly observations: ObservationExchange;
	private readonly failureLog: LogLimiter;
	private peerPosition = 0;
	private isExchangingWithPeer = false;
	private knownSource = '';
	private knownRevision = 0;
	private ownerHeardAt = Number.NEGATIVE_INFINITY;
	private state: RelayedState = {
		hostCount: 0,
		ownerSilenceMilliseconds: 0,
		peerAddresses: [],
	};

	/** Address of the host that asked for the document of this one. */
	private documentWantedBy: string | undefined;
	private reportIntervalMilliseconds = initialReportIntervalMilliseconds;
	private isReportScheduled = false;
	private wasReachable = true;
	private hasKeepingReceiver = false;

	constructor(private readonly options: ReportClientOptions) {
		super();
		this.route = new ReportRoute({clock: options.clock});
		this.failureLog = new LogLimiter({
			clock: options.clock,
			intervalMilliseconds: 60_000,
			maximumLines: 1,
		});
		this.observations = new ObservationExchange(
			options.crashes,
			options.limits,
			options.streams,
			options.brittle,
		);
		for (const {observed} of [
			options.crashes,
			options.limits,
			options.brittle,
		]) {
			observed.subscribe(() => {
				this.scheduleReport();
			});
		}
	}

	/** Addresses of the other hosts that this one knows from its reports, and of the owner. */
	knownPeers(): readonly string[] {
		const owner = this.options.holder()?.peerAddress;
		return [
			...new Set([
				...this.state.peerAddresses,
				...(owner === undefined ? [] : [owner]),
			]),
		].filter((address) => address !== this.options.peerAddress);
	}

	/** True when a word of the owner has reached this host recently, directly or through a relay. */
	isOwnerResponsive(): boolean {
		return (
			this.ownerSilenceMilliseconds <
			responsiveMilliseconds + 2 * this.reportIntervalMilliseconds
		);
	}

	/** True while the host to which this one reports writes the streams in the reports to the store. One of an older build does not. */
	get isStreamKeeperResponsive(): boolean {
		return this.hasKeepingReceiver && this.isOwnerResponsive();
	}

	/** Address of the relay in use, empty while this host reports to the owner. */
	get relay(): string {
		return this.route.relay;
	}

	/** State to pass on to other hosts. Undefined while this host uses a relay itself or does not hear from the owner. */
	relayedState(): RelayedState | undefined {
		return this.relay === '' && this.isOwnerResponsive()
			? {
					...this.state,
					ownerSilenceMilliseconds: this.ownerSilenceMilliseconds,
				}
			: undefined;
	}

	/** Asks the host to which this one reports for permits. Returns undefined when it does not issue any. */
	async acquirePermits(
		demands: readonly PermitDemand[],
	): Promise<readonly PermitGrant[] | undefined> {
		const {limits} = this.options;
		const destination = this.destination();
		if (!destination) {
			return undefined;
		}

		const response = await ResultAsync.fromPromise(
			this.getClient(destination.address).acquirePermits(
				{
					demands: [...demands],
					rates: demands
						.flatMap(({target}) => limits.describe(target) ?? [])
						.map(toTargetRate),
				},
				{timeoutMs: permitTimeoutMilliseconds},
			),
			(cause) => new ReportCallError('the host did not respond', {cause}),
		);
		if (response.isErr() || !response.value.isIssuer) {
			return undefined;
		}

		for (const rate of response.value.rates) {
			limits.merge(fromRateChange(rate));
		}

		return response.value.grants.map(({target, count, retryMilliseconds}) => ({
			target: target as TargetId,
			count,
			retryMilliseconds,
		}));
	}

	/** Asks the host to which this one reports, and then all other known hosts at once, at which software version a stream began. */
	async findStream(stream: RequestId): Promise<SoftwareVersion | undefined> {
		const upstream = this.destination()?.address;
		const version = await this.askUpstream(stream, false);
		if (version !== undefined) {
			return version;
		}

		const peers = this.state.peerAddresses.filter(
			(address) => address !== this.options.peerAddress && address !== upstream,
		);
		const versions = await Promise.all(
			peers.map(async (address) => this.askForStream(address, stream, true)),
		);
		return versions.find((each) => each !== undefined);
	}

	/** Asks the host to which this one reports at which software version a stream began. */
	async askUpstream(
		stream: RequestId,
		isForwarded = true,
	): Promise<SoftwareVersion | undefined> {
		const destination = this.options.isLocalOwner()
			? undefined
			: this.destination();
		return destination === undefined
			? undefined
			: this.askForStream(destination.address, stream, isForwarded);
	}

	/** Reports continuously until disposed. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		while (!signal.aborted) {
			if (this.options.isLocalOwner()) {
				this.route.reset();
				this.reportLocally();
				await wait(retryDelayMilliseconds, signal);
				continue;
			}

			const startedAt = this.options.clock.monotonic();
			const hasResponded = await this.reportSafely();
			this.recordReachability(hasResponded);
			if (!hasResponded && !this.isOwnerResponsive()) {
				// The next report to the owner does not wait for it.
				void this.exchangeWithPeer();
			}

			await wait(this.reportDelay(hasResponded, startedAt), signal);
		}
	}

	/** Schedules a report outside the regular sequence: a request waits for an adapter that no target holds, or the other hosts should learn of a suspicion or of the rate of a target. */
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
				void this.reportSafely();
			}
		}, scheduledReportDelayMilliseconds);
	}

	dispose(): void {
		this.abort.abort();
		this.agent.destroy();
	}

	private get ownerSilenceMilliseconds(): number {
		return this.options.clock.monotonic() - this.ownerHeardAt;
	}

	private async askForStream(
		address: string,
		stream: RequestId,
		isForwarded: boolean,
	): Promise<SoftwareVersion | undefined> {
		const response = await ResultAsync.fromPromise(
			this.getClient(address).findStream(
				{stream, isForwarded},
				{timeoutMs: findStreamTimeoutMilliseconds},
			),
			(cause) => new ReportCallError('the host did not respond', {cause}),
		);
		return response.isOk()
			? (response.value.version as SoftwareVersion | undefined)
			: undefined;
	}

	private destination(): ReportDestination | undefined {
		const {holder, host} = this.options;
		const owner = holder();
		return this.route.destination(
			owner && owner.host !== host && isHostAddress(owner.peerAddress)
				? owner.peerAddress
				: undefined,
		);
	}

	private reportDelay(hasResponded: boolean, startedAt: number): number {
		if (!hasResponded) {
			return retryDelayMilliseconds;
		}

		const elapsed = this.options.clock.monotonic() - startedAt;
		return Math.max(0, this.reportIntervalMilliseconds - elapsed);
	}

	private reportLocally(): void {
		const {localOwner, demand} = this.options;
		localOwner.applyDemand(demand());
		for (const part of this.options.parts ?? []) {
			part.reportLocally();
		}

		this.wasReachable = true;
		this.applyUpdate({
			hostCount: localOwner.hostCount,
			ownerSilenceMilliseconds: 0,
			peerAddresses: this.options.peerAddresses(),
			contents: [],
			targetList: undefined,
			documentPosition: 0,
			documentConfirmationAgeMilliseconds: undefined,
			documentVersion: 0,
			document: undefined,
		});
	}

	/** Reports once. A failure of this host counts as no response, so that it does not end the reports. */
	private async reportSafely(): Promise<boolean> {
		const reported = await ResultAsync.fromPromise(this.report(), String);
		if (reported.isErr()) {
			const omittedLines = this.failureLog.admit('report');
			if (omittedLines !== undefined) {
				this.options.events.record(forwardingEvents.reportFailed, {
					reason: reported.error.slice(0, maximumReasonLength),
					omittedLines,
				});
			}
		}

		return reported.unwrapOr(false);
	}

	private async report(): Promise<boolean> {
		const destination = this.destination();
		if (!destination) {
			return false;
		}

		const {clock} = this.options;
		const startedAt = clock.monotonic();
		const response = await this.call(destination.address, false);
		if (response.isErr()) {
			this.handleFailure(destination, response.error.message);
			return false;
		}

		const roundTripMilliseconds = clock.monotonic() - startedAt;

		const {lease, isOwner, isRelay} = response.value;
		if (lease) {
			this.options.onLeaseStatusReceived(fromLeaseState(lease));
		}

		if (!isOwner && !isRelay) {
			this.handleFailure(destination, 'the host does not serve reports');
			return false;
		}

		this.hasKeepingReceiver = response.value.keepsStreams;
		if (!response.value.keepsStreams) {
			// A host of an older build does not tell how far back the versions reach that it knows. It takes them for all.
			this.options.streams.learnVersions({
				versions: [],
				reachMilliseconds: streamLifetimeMilliseconds,
			});
		}

		this.applyResponse(response.value, roundTripMilliseconds);
		for (const part of this.options.parts ?? []) {
			part.handleResponse(response.value, {
				address: destination.address,
				ageMilliseconds: receivedAge({
					ageMilliseconds: 0,
					roundTripMilliseconds,
					heldMilliseconds: response.value.heldMilliseconds,
				}),
			});
		}

		return true;
	}

	/** A host that takes observations only is neither the owner nor the relay of this one. */
	private partFields(observationsOnly: boolean): ReportFields {
		return observationsOnly
			? {}
			: (Object.assign(
					{},
					...(this.options.parts ?? []).map((part) => part.requestFields()),
				) as ReportFields);
	}

	/** Calls a host, and exchanges suspicions with it. */
	private async call(
		address: string,
		observationsOnly: boolean,
	): Promise<Result<ReportResponse, ReportCallError>> {
		const {demand, failureDomain, peerAddress, capacity} = this.options;
		const {fields, applyResponse} = this.observations.prepare(address);
		const document = this.options.document();
		const response = await ResultAsync.fromPromise(
			this.getClient(address).report(
				{
					...this.partFields(observationsOnly),
					...toReportRequest(demand(), {
						failureDomain,
						peerAddress,
						capacity,
						failedRelay: this.route.failedRelay,
						knownSource: this.knownSource,
						knownRevision: this.knownRevision,
						documentVersion: document?.version ?? 0,
						needsDocument: this.options.needsDocument(),
						document: this.documentWantedBy === address ? document : undefined,
						observationsOnly,
						leaving: this.options.leavingTargets(),
						...fields,
					}),
				},
				{timeoutMs: callTimeoutMilliseconds + this.reportIntervalMilliseconds},
			),
			(cause) => new ReportCallError('the host did not respond', {cause}),
		);
		return response.map((value) => {
			applyResponse(value);
			this.documentWantedBy = value.wantsDocument ? address : undefined;
			return value;
		});
	}

	/** Exchanges suspicions with one of the other hosts in turn, because nobody collects them while no owner responds. */
	private async exchangeWithPeer(): Promise<void> {
		const peers = this.state.peerAddresses.filter(
			(address) => address !== this.options.peerAddress,
		);
		if (peers.length === 0 || this.isExchangingWithPeer) {
			return;
		}

		this.peerPosition = (this.peerPosition + 1) % peers.length;
		this.isExchangingWithPeer = true;
		await ResultAsync.fromPromise(
			this.call(peers[this.peerPosition]!, true),
			String,
		);
		this.isExchangingWithPeer = false;
	}

	private handleFailure(destination: ReportDestination, reason: string): void {
		if (destination.isRelay) {
			this.options.events.record(forwardingEvents.relayLost, {
				relay: destination.address,
				reason,
			});
		} else {
			this.ownerHeardAt = Math.min(
				this.ownerHeardAt,
				this.options.clock.monotonic() - callTimeoutMilliseconds,
			);
		}

		this.route.recordFailure(destination);
	}

	private applyResponse(
		response: ReportResponse,
		roundTripMilliseconds: number,
	): void {
		const {targetList, source, heldMilliseconds} = response;
		const revision = Number(response.revision);
		this.reportIntervalMilliseconds = response.reportIntervalMilliseconds;
		// Responses to concurrent calls may arrive out of order.
		const isNew = source !== this.knownSource || revision > this.knownRevision;
		const isApplied = this.applyUpdate({
			hostCount: response.hostCount,
			ownerSilenceMilliseconds: response.ownerSilenceMilliseconds,
			peerAddresses: fromPeerAddresses(response.peerAddresses),
			contents: isNew ? response.contents.map(fromTargetContent) : [],
			targetList: targetList && {
				changes: isNew ? fromTargetListUpdate(targetList) : [],
				isComplete: isNew && targetList.isComplete,
				position: Number(targetList.position),
				ageMilliseconds: receivedAge({
					ageMilliseconds: targetList.ageMilliseconds,
					roundTripMilliseconds,
					heldMilliseconds,
				}),
			},
			documentPosition: Number(response.documentPosition),
			documentConfirmationAgeMilliseconds:
				response.documentConfirmationAgeMilliseconds === undefined
					? undefined
					: receivedAge({
							ageMilliseconds: response.documentConfirmationAgeMilliseconds,
							roundTripMilliseconds,
							heldMilliseconds,
						}),
			documentVersion: Number(response.documentVersion),
			document: fromDocumentField(response.document),
		});
		if (isApplied && isNew) {
			this.knownSource = source;
			this.knownRevision = revision;
		}

		const relayAddress = isHostAddress(response.relayAddress)
			? response.relayAddress
			: '';
		if (response.isOwner && relayAddress !== this.route.relay) {
			this.route.applyAssignment(relayAddress);
			this.options.events.record(forwardingEvents.relayAssigned, {
				relay: this.route.relay,
				hosts: response.hostCount,
			});
		}
	}

	/** Returns false for a state that is older than the one of this host. The revision then stays unknown, so that the changes are sent again. */
	private applyUpdate(update: FleetUpdate): boolean {
		const {hostCount, ownerSilenceMilliseconds, peerAddresses} = update;
		this.state = {hostCount, ownerSilenceMilliseconds, peerAddresses};
		this.ownerHeardAt = Math.max(
			this.ownerHeardAt,
			this.options.clock.monotonic() - ownerSilenceMilliseconds,
		);
		return this.options.applyUpdate(update);
	}

	private getClient(address: string): Client<typeof OwnerService> {
		let client = this.clients.get(address);
		if (!client) {
			client = createClient(
				OwnerService,
				createConnectTransport({
					baseUrl: `http://${address}`,
					httpVersion: '1.1',
					nodeOptions: {agent: this.agent},
				}),
			);
			this.clients.set(address, client);
		}

		return client;
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
