import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type Result} from 'neverthrow';
import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {ServedConnections} from '../../../base/node/served-connections.js';
import {
	listenOn,
	type ListenError,
	type ListenOptions,
} from '../../../base/node/listen.js';
import {
	type HostId,
	type RequestId,
	type SoftwareVersion,
	type TargetId,
} from '../../../contracts/ids.js';
import {type DocumentChange} from '../../../contracts/shared-store.js';
import {DemandCollector} from '../../../core/placement/demand-collector.js';
import {type BrittleTargets} from '../../../core/limits/brittle-targets.js';
import {type HostDemand} from '../../../core/placement/host-demand.js';
import {type LeavingTarget} from '../../../core/routing/leaving-targets.js';
import {type LeaseStatus} from '../../../core/leases/owner-lease.js';
import {type NamedRateLimits} from '../../../core/limits/named-rate-limits.js';
import {type PermitIssuer} from '../../../core/limits/permit-issuer.js';
import {
	maximumHostsOfRelay,
	RelayAssignment,
	reportInterval,
} from '../../../core/membership/relay-assignment.js';
import {
	OwnerService,
	type AcquirePermitsRequest,
	type FindStreamRequest,
	type ReportRequest,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {maximumCallBytes} from '../peers/gathered-body.js';
import {type CrashObserver} from '../targets/crash-observer.js';
import {type PlacementOwner} from '../owner/placement-owner.js';
import {type StreamOriginSharing} from '../state/stream-origin-sharing.js';
import {type FleetView} from './fleet-view.js';
import {type ReportPart, type ReportResponseFields} from './report-part.js';
import {
	fromBrittleTarget,
	fromDocumentField,
	fromLeavingTargets,
	fromRateChange,
	fromReportRequest,
	fromSeenVersion,
	fromSuspicion,
	fromVersionedStreams,
	toBrittleTarget,
	toLeaseField,
	toListedTarget,
	toRelayCandidate,
	toSeenVersion,
	toSuspicion,
	toTargetRate,
	toTargetContent,
	toUnlistedFields,
	toVersionedStreams,
} from './report-messages.js';

/** State that a relay passes on from the owner. */
export type RelayedState = {
	readonly hostCount: number;
	/** Time since the last word of the owner. */
	readonly ownerSilenceMilliseconds: number;
	/** Addresses of hosts with which others exchange suspicions while no owner responds. */
	readonly peerAddresses: readonly string[];
};

/** Options of the report server. */
export type ReportServerOptions = {
	readonly host: HostId;
	/** Processor share of this machine. */
	readonly capacity: number;
	readonly clock: Clock;
	/** The placement owner of this process. */
	readonly owner: PlacementOwner;
	readonly view: FleetView;
	readonly crashes: CrashObserver;
	readonly limits: NamedRateLimits;
	readonly brittle: BrittleTargets;
	readonly permits: PermitIssuer;
	readonly streams: StreamOriginSharing;
	/** Asks the host to which this one reports at which software version a stream began. */
	readonly askUpstream: (
		stream: RequestId,
	) => Promise<SoftwareVersion | undefined>;
	/** True while this host holds the owner lease. */
	readonly isOwner: () => boolean;
	/** State of the owner while this host reports to it directly and hears from it, undefined otherwise. */
	readonly relayedState: () => RelayedState | undefined;
	/** Status of the lease that this host holds or held last. */
	readonly lease: () => LeaseStatus | undefined;
	/** Position and age of the target list as this host knows it. */
	readonly targetList: () => {
		readonly position: number;
		readonly ageMilliseconds: number;
	};
	/** Time since the start of the read of the store that confirmed the document, infinite before the first one. */
	readonly documentConfirmationAge: () => number;
	/** Called when a relayed report says that requests wait for an adapter. */
	readonly onUrgentReport: () => void;
	/** Called with a target that said that it leaves, in an answer to another host. */
	readonly onLeavingTarget: (target: LeavingTarget) => void;
	/** Called with a document that is newer than the one of this host, in the report of another one. */
	readonly onDocumentReceived: (document: DocumentChange) => void;
	/** Further subjects of the reports. */
	readonly parts?: readonly ReportPart[];
	/** Adds further calls between hosts to the listener. */
	readonly addRoutes?: (router: ConnectRouter) => void;
	/** True for calls of these whose responses must have arrived before the process ends. */
	readonly mustArrive?: (message: IncomingMessage) => boolean;
	/** Limits what the connections may cost. */
	readonly guard?: (server: Server, connections: ServedConnections) => void;
	/** Limits the body of a call. Its memory is that of the bodies of requests. */
	readonly limitBody?: (
		message: IncomingMessage,
		response: ServerResponse,
	) => void;
};

type Waiter = {readonly isUrgent: boolean; readonly wake: () => void};

/** Age from which a confirmation of the document is not passed on. */
const maximumConfirmationAgeMilliseconds = 3_600_000;
/** Time after which a response without changes is sent, so that the reporting host sees that this one is alive. */
const responseHoldMilliseconds = 250;
/** Time since its last report, in addition to two intervals, from which a host may have lost this one and keeps its share of a rate for itself. */
const presenceMilliseconds = 700;
/** Changes within this time are combined in one response, when the host is waiting for one of them. */
const promptDelayMilliseconds = 4;
/** Changes within this time are combined in one response to a host of a large fleet that does not wait for any of them. */
const combinedDelayMilliseconds = 100;
/** Waiting hosts up to which each change is sent promptly to all. */
const maximumPromptWaiters = 8;

/**
 * Responds to the reports of other hosts, as the owner of placement or as a relay of the owner. The response to a host
 * that has the current revision is held until a change (long polling).
 */
export class ReportServer extends Disposable {
	/** The connections of other hosts. */
	readonly connections: ServedConnections;
	private readonly server: Server;
	private readonly waiters = new Set<Waiter>();
	private readonly relayedDemand: DemandCollector;
	private readonly relays: RelayAssignment;
	private promptTimer: NodeJS.Timeout | undefined;
	private combinedTimer: NodeJS.Timeout | undefined;
	private wakesAll = false;

	constructor(private readonly options: ReportServerOptions) {
		super();
		const {clock, host, view, crashes} = options;
		this.relayedDemand = new DemandCollector({clock});
		this.relays = new RelayAssignment({clock, owner: host});
		this.connections = new ServedConnections(clock);
		this.server = createServer(
			connectNodeAdapter({
				readMaxBytes: maximumCallBytes,
				routes: (router) => {
					router.service(OwnerService, {
						report: async (request) => this.report(request),
						acquirePermits: (request) => this.issuePermits(request),
						findStream: async (request) => this.findStream(request),
					});
					options.addRoutes?.(router);
				},
			}),
		);
		this.server.on('connection', (socket) => {
			this.connections.add(socket);
		});
		this.server.on('request', (message, response) => {
			this.connections.addRequest(
				message,
				response,
				options.mustArrive?.(message) ?? false,
			);
		});
		// The calls begin to read their bodies after this listener.
		this.server.prependListener('request', (message, response) => {
			options.limitBody?.(message, response);
		});
		options.guard?.(this.server, this.connections);
		view.changed.subscribe((urgency) => {
			this.scheduleWake(
				urgency === 'prompt' || this.waiters.size <= maximumPromptWaiters,
			);
		});
		crashes.changed.subscribe(() => {
			this.scheduleWake(true);
		});
	}

	/** Starts listening and returns the port. */
	async listen(
		port: number,
		hostname: string,
		options?: ListenOptions,
	): Promise<Result<number, ListenError>> {
		return listenOn(this.server, port, hostname, options);
	}

	/** Addresses of the hosts that report to this one as the owner. */
	peerAddresses(): readonly string[] {
		return this.relays.peerAddresses();
	}

	/** Share of the fleet for which this host issues permits: itself and the hosts that report to it without relaying for others. Undefined when it issues none. */
	permitShare(): number | undefined {
		const {isOwner, owner, relayedState} = this.options;
		if (isOwner()) {
			const hosts =
				1 +
				this.relays.countSingleHosts(
					presenceMilliseconds + 2 * this.reportInterval(owner.hostCount),
				);
			return hosts / Math.max(hosts, owner.hostCount);
		}

		const relayed = relayedState();
		const {members} = this.relayedDemand.sum();
		if (!relayed || members.length === 0) {
			return undefined;
		}

		const hosts = 1 + members.length;
		return hosts / Math.max(hosts, relayed.hostCount);
	}

	/** True while other hosts report to this one as a relay. */
	get isRelay(): boolean {
		return !this.options.isOwner() && this.relayedDemand.reporterCount > 0;
	}

	/** Adds the demand of the hosts that report to this one to its own demand. */
	mergeDemand(own: HostDemand): HostDemand {
		return this.relayedDemand.mergeWith(own);
	}

	dispose(): void {
		clearTimeout(this.promptTimer);
		clearTimeout(this.combinedTimer);
		this.wake(() => true);
		this.server.close();
		this.server.closeAllConnections();
	}

	private async report(request: ReportRequest) {
		const {view} = this.options;
		const isUrgent = request.adapters.some(({waiting}) => waiting > 0);
		const hasNewSuspicions = this.mergeObservations(request);
		if (
			request.observationsOnly ||
			!this.accept(request, isUrgent || hasNewSuspicions)
		) {
			return this.refuse(request);
		}

		const document = fromDocumentField(request.document);
		if (document) {
			this.options.onDocumentReceived(document);
		}

		for (const part of this.options.parts ?? []) {
			part.handleRequest(request);
		}

		const arrivedAt = this.options.clock.monotonic();
		if (
			!this.needsPromptResponse(request) &&
			!this.isBehind(request) &&
			!(request.needsDocument && this.isAhead(request)) &&
			request.knownSource === view.name &&
			Number(request.knownRevision) === view.revision &&
			this.observationFields(request).suspicions.length === 0
		) {
			await this.waitForChange(isUrgent);
		}

		const heldMilliseconds = Math.floor(
			this.options.clock.monotonic() - arrivedAt,
		);
		return {...this.respond(request), heldMilliseconds};
	}

	/** Version of the document in force on this host, 0 for none. */
	private get documentVersion(): number {
		return this.options.view.document?.version ?? 0;
	}

	/** True when the reporting host has a newer document. */
	private isBehind({documentVersion}: ReportRequest): boolean {
		return Number(documentVersion) > this.documentVersion;
	}

	/** True when this host has a newer document than the reporting one. */
	private isAhead({documentVersion}: ReportRequest): boolean {
		return Number(documentVersion) < this.documentVersion;
	}

	private issuePermits({demands, rates}: AcquirePermitsRequest) {
		const {limits, permits} = this.options;
		const share = this.permitShare();
		if (share === undefined) {
			return {isIssuer: false};
		}

		for (const rate of rates) {
			limits.merge(fromRateChange(rate));
		}

		return {
			isIssuer: true,
			grants: demands.map(({target, count}) =>
				permits.issue(target as TargetId, count, share),
			),
			rates: demands
				.flatMap(({target}) => limits.describe(target as TargetId) ?? [])
				.map(toTargetRate),
		};
	}

	/** Answers from what this host knows, or passes the question on to the host to which this one reports. */
	private async findStream({stream, isForwarded}: FindStreamRequest) {
		const {streams, askUpstream} = this.options;
		const id = stream as RequestId;
		const version =
			streams.get(id) ?? (isForwarded ? undefined : await askUpstream(id));
		return version === undefined ? {} : {version};
	}

	/** Applies the suspicions, rates and streams in a report. Returns true when a suspicion is new to this host. */
	private mergeObservations({
		suspicions,
		rates,
		streams,
		versions,
		leaving,
		brittle,
	}: ReportRequest): boolean {
		const {crashes, limits} = this.options;
		for (const rate of rates) {
			limits.merge(fromRateChange(rate));
		}

		for (const target of brittle) {
			this.options.brittle.merge(fromBrittleTarget(target));
		}

		for (const target of fromLeavingTargets(leaving)) {
			this.options.onLeavingTarget(target);
		}

		this.options.streams.merge(fromVersionedStreams(streams), 'reporter');
		this.options.streams.mergeVersions(versions.map(fromSeenVersion));
		return crashes.merge(suspicions.map(fromSuspicion));
	}

	/** Takes the demand in a report. Returns false when this host serves no reports, or none of another host. */
	private accept(request: ReportRequest, isUrgent: boolean): boolean {
		const {owner, isOwner, relayedState, onUrgentReport} = this.options;
		const demand = fromReportRequest(request);
		if (isOwner()) {
			const candidate = toRelayCandidate(request);
			if (candidate) {
				this.relays.apply(candidate);
			}

			owner.applyDemand(demand);
			return true;
		}

		if (!relayedState()) {
			return false;
		}

		if (!this.relayedDemand.hasRoomFor(demand.host, maximumHostsOfRelay - 1)) {
			return false;
		}

		this.relayedDemand.apply(demand);
		if (isUrgent) {
			onUrgentReport();
		}

		return true;
	}

	/** The response of a host that serves no reports. It exchanges suspicions all the same, which need no owner. */
	private refuse(request: ReportRequest) {
		const {view, lease} = this.options;
		return {
			isOwner: false,
			source: view.name,
			...this.observationFields(request),
			...toLeaseField(lease()),
		};
	}

	private observationFields(request: ReportRequest) {
		const {view, crashes, limits} = this.options;
		const isKnownSource = request.knownObservationSource === view.name;
		const suspicions = crashes.sharedChangesSince(
			isKnownSource ? Number(request.knownSuspicionRevision) : 0,
		);
		const rates = limits.changesSince(
			isKnownSource ? Number(request.knownRateRevision) : 0,
		);
		const streams = this.options.streams.changesForReporter(
			isKnownSource ? Number(request.knownStreamRevision) : 0,
		);
		const brittle = this.options.brittle.changesSince(
			isKnownSource ? Number(request.knownBrittleRevision) : 0,
		);
		return {
			brittle: brittle.news.map(toBrittleTarget),
			brittleRevision: BigInt(brittle.revision),
			streams: toVersionedStreams(streams.origins),
			...this.versionFields(request),
			streamRevision: BigInt(streams.revision),
			suspicions: suspicions.reports.map(toSuspicion),
			suspicionRevision: BigInt(suspicions.revision),
			rates: rates.changes.map(toTargetRate),
			rateRevision: BigInt(rates.revision),
		};
	}

	private versionFields({wantsVersionReport}: ReportRequest) {
		const {streams} = this.options;
		if (!wantsVersionReport) {
			return {versions: streams.mixedVersions().map(toSeenVersion)};
		}

		const {versions, reachMilliseconds} = streams.versionReport();
		return {
			versions: versions.map(toSeenVersion),
			versionReachMilliseconds: Math.floor(reachMilliseconds),
		};
	}

	private respond(request: ReportRequest) {
		const {owner, view, isOwner, lease, targetList} = this.options;
		const holdsLease = isOwner();
		const relayed = holdsLease
			? {
					hostCount: owner.hostCount,
					ownerSilenceMilliseconds: 0,
					peerAddresses: this.relays.peerAddresses(),
				}
			: this.options.relayedState();
		if (!relayed) {
			return this.refuse(request);
		}

		const relay = holdsLease
			? this.relays.relayOf(request.host as HostId, request.failedRelay)
			: undefined;
		const {revision, isComplete, listed, unlisted, contents} =
			view.changesSince(request.knownSource, Number(request.knownRevision));
		const {position, ageMilliseconds} = targetList();
		return {
			isOwner: holdsLease,
			isRelay: !holdsLease,
			source: view.name,
			keepsStreams: true,
			revision: BigInt(revision),
			hostCount: relayed.hostCount,
			ownerSilenceMilliseconds: Math.ceil(relayed.ownerSilenceMilliseconds),
			peerAddresses: [...relayed.peerAddresses],
			...this.observationFields(request),
			relayAddress: relay?.peerAddress ?? '',
			contents: contents.map(toTargetContent),
			targetList: {
				position: BigInt(position),
				ageMilliseconds: Math.ceil(ageMilliseconds),
				isComplete,
				listed: listed.map(toListedTarget),
				...toUnlistedFields(unlisted),
			},
			documentPosition: BigInt(view.documentPosition),
			...toConfirmationField(this.options.documentConfirmationAge()),
			documentVersion: BigInt(this.documentVersion),
			wantsDocument: this.isBehind(request),
			...(request.needsDocument && this.isAhead(request)
				? {document: JSON.stringify(view.document)}
				: {}),
			reportIntervalMilliseconds: Math.ceil(
				this.reportInterval(relayed.hostCount),
			),
			...(holdsLease ? toLeaseField(lease()) : {}),
			...this.partFields(request),
		};
	}

	private needsPromptResponse(request: ReportRequest): boolean {
		return (this.options.parts ?? []).some((part) =>
			part.needsPromptResponse(request),
		);
	}

	private partFields(request: ReportRequest): ReportResponseFields {
		return Object.assign(
			{},
			...(this.options.parts ?? []).map((part) => part.responseFields(request)),
		) as ReportResponseFields;
	}

	/** Minimum time between the reports of a host that reports to this one. */
	private reportInterval(hostCount: number): number {
		return reportInterval(
			hostCount,
			this.options.isOwner()
				? this.relays.reporterCount
				: this.relayedDemand.reporterCount,
			this.options.capacity,
		);
	}

	private async waitForChange(isUrgent: boolean): Promise<void> {
		await new Promise<void>((resolve) => {
			const waiter: Waiter = {
				isUrgent,
				wake: () => {
					clearTimeout(timer);
					this.waiters.delete(waiter);
					resolve();
				},
			};
			const timer = setTimeout(waiter.wake, responseHoldMilliseconds);
			this.waiters.add(waiter);
		});
	}

	/** Wakes the hosts that wait for a change: promptly those for which it is urgent, the others together with later changes unless it is urgent for all. */
	private scheduleWake(isUrgentForAll: boolean): void {
		this.wakesAll ||= isUrgentForAll;
		this.promptTimer ??= setTimeout(() => {
			const {wakesAll} = this;
			this.promptTimer = undefined;
			this.wakesAll = false;
			this.wake(({isUrgent}) => wakesAll || isUrgent);
		}, promptDelayMilliseconds);
		this.combinedTimer ??= setTimeout(() => {
			this.combinedTimer = undefined;
			this.wake(() => true);
		}, combinedDelayMilliseconds);
	}

	private wake(predicate: (waiter: Waiter) => boolean): void {
		for (const waiter of [...this.waiters].filter(predicate)) {
			waiter.wake();
		}
	}
}

/** Leaves the age out that the field cannot hold, which is too old for any use. */
function toConfirmationField(ageMilliseconds: number): {
	documentConfirmationAgeMilliseconds?: number;
} {
	return ageMilliseconds < maximumConfirmationAgeMilliseconds
		? {documentConfirmationAgeMilliseconds: Math.ceil(ageMilliseconds)}
		: {};
}
