import {type MessageInitShape} from '@bufbuild/protobuf';
import {
	decodeForwardingDocument,
	type ForwardingDocument,
} from '../../../contracts/forwarding-document.js';
import {type DocumentChange} from '../../../contracts/shared-store.js';
import {
	type AdapterId,
	type FailureDomain,
	type Fingerprint,
	type HostId,
	type ModelId,
	type PoolName,
	type RequestId,
	type SoftwareVersion,
	type TargetId,
	type TargetIncarnation,
} from '../../../contracts/ids.js';
import {
	type EntryRevision,
	type ListedTarget,
	type TargetListChange,
} from '../../../contracts/listed-target.js';
import {
	isHostAddress,
	isTargetAddress,
} from '../../../contracts/target-address.js';
import {type SuspicionReport} from '../../../contracts/suspicion-report.js';
import {type BrittleNews} from '../../../core/limits/brittle-targets.js';
import {type HostDemand} from '../../../core/placement/host-demand.js';
import {type LeavingTarget} from '../../../core/routing/leaving-targets.js';
import {type RateChange} from '../../../core/limits/named-rate-limits.js';
import {type LeaseStatus} from '../../../core/leases/owner-lease.js';
import {type RelayCandidate} from '../../../core/membership/relay-assignment.js';
import {type StreamOrigin} from '../../../contracts/stream-origin.js';
import {type SeenVersion} from '../../../contracts/version-report.js';
import {
	type BrittleTarget,
	type BrittleTargetSchema,
	type EntryRevision as EntryRevisionMessage,
	type EntryRevisionSchema,
	type LeaseState,
	type ListedTarget as ListedTargetMessage,
	type ListedTargetSchema,
	type ReportRequest,
	type ReportResponseSchema,
	type SeenVersion as SeenVersionMessage,
	type SeenVersionSchema,
	type Suspicion,
	type SuspicionSchema,
	type TargetContent,
	type TargetContentSchema,
	type TargetListUpdate,
	type TargetListUpdateSchema,
	type TargetRate,
	type TargetRateSchema,
	type VersionedStreams,
	type VersionedStreamsSchema,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {type PlacedContent} from '../targets/target-registry.js';
import {type UnlistedTarget} from './fleet-view.js';
import {type ReportFields} from './report-part.js';

/** What a report says of the reporting host besides its demand. */
export type ReporterState = {
	readonly failureDomain: FailureDomain;
	/** `host:port` at which other hosts can report to it. */
	readonly peerAddress: string;
	readonly capacity: number;
	/** Address of a relay that did not respond lately, empty if there is none. */
	readonly failedRelay: string;
	/** Process and revision of the shared state that the host has. */
	readonly knownSource: string;
	readonly knownRevision: number;
	/** Version of the document in force, 0 for none. */
	readonly documentVersion: number;
	/** True when the host cannot read the newer document of the receiver from the store. */
	readonly needsDocument: boolean;
	/** The document in force, for a receiver that asked for it. */
	readonly document: ForwardingDocument | undefined;
	/** What the receiver does not know yet of fingerprints that may crash targets. */
	readonly suspicions: readonly SuspicionReport[];
	/** True when the host only exchanges suspicions and rates with the receiver. */
	readonly observationsOnly: boolean;
	/** Rates that targets named and the receiver does not know yet. */
	readonly rates: readonly RateChange[];
	/** Process of the receiver from which the host has received suspicions and rates, and their revisions. */
	readonly knownObservationSource: string;
	readonly knownSuspicionRevision: number;
	readonly knownRateRevision: number;
	readonly knownStreamRevision: number;
	/** What targets said of being brittle and the receiver does not know yet. */
	readonly brittle: readonly BrittleNews[];
	readonly knownBrittleRevision: number;
	/** Streams that the receiver does not know yet. */
	readonly streams: readonly StreamOrigin[];
	/** Software versions of the pools that had several lately. */
	readonly versions: readonly SeenVersion[];
	/** True while the host does not know all software versions that targets had lately. */
	readonly wantsVersionReport: boolean;
	/** Targets that said in an answer lately that they leave. */
	readonly leaving: readonly LeavingTarget[];
};

/** Converts the demand and state of a host to a message. */
export function toReportRequest(
	demand: HostDemand,
	state: ReporterState,
): ReportFields {
	return {
		host: demand.host,
		members: [...demand.members],
		observedMilliseconds: toAge(demand.observedMilliseconds),
		models: demand.models.map(({model, requests, idleMilliseconds}) => ({
			model,
			requests,
			idleMilliseconds: toAge(idleMilliseconds),
		})),
		adapters: demand.adapters.map((each) => ({
			model: each.model,
			adapter: each.adapter,
			requests: each.requests,
			waiting: each.waiting,
			softwareVersion: each.softwareVersion ?? '',
		})),
		failureDomain: state.failureDomain,
		peerAddress: state.peerAddress,
		capacity: state.capacity,
		failedRelay: state.failedRelay,
		knownSource: state.knownSource,
		knownRevision: BigInt(state.knownRevision),
		suspicions: state.suspicions.map(toSuspicion),
		observationsOnly: state.observationsOnly,
		rates: state.rates.map(toTargetRate),
		knownObservationSource: state.knownObservationSource,
		knownRateRevision: BigInt(state.knownRateRevision),
		knownSuspicionRevision: BigInt(state.knownSuspicionRevision),
		knownStreamRevision: BigInt(state.knownStreamRevision),
		streams: toVersionedStreams(state.streams),
		versions: state.versions.map(toSeenVersion),
		wantsVersionReport: state.wantsVersionReport,
		brittle: state.brittle.map(toBrittleTarget),
		knownBrittleRevision: BigInt(state.knownBrittleRevision),
		leaving: state.leaving.map((each) => ({...each})),
		documentVersion: BigInt(state.documentVersion),
		needsDocument: state.needsDocument,
		...(state.document ? {document: JSON.stringify(state.document)} : {}),
	};
}

/** Converts a message to the demand of a host. */
export function fromReportRequest(message: ReportRequest): HostDemand {
	return {
		host: message.host as HostId,
		members: message.members as HostId[],
		observedMilliseconds: message.observedMilliseconds,
		models: message.models.map(({model, requests, idleMilliseconds}) => ({
			model: model as ModelId,
			requests,
			idleMilliseconds,
		})),
		adapters: message.adapters.map((each) => ({
			model: each.model as ModelId,
			adapter: each.adapter as AdapterId,
			requests: each.requests,
			waiting: each.waiting,
			softwareVersion: fromVersionField(each.softwareVersion),
		})),
	};
}

/** Converts messages to targets that said that they leave. */
export function fromLeavingTargets(
	messages: ReportRequest['leaving'],
): LeavingTarget[] {
	return messages.map(({target, incarnation}) => ({
		target: target as TargetId,
		incarnation: incarnation as TargetIncarnation,
	}));
}

/** Converts a software version that targets of a pool had to a message. */
export function toSeenVersion({
	pool,
	version,
	ageMilliseconds,
}: SeenVersion): MessageInitShape<typeof SeenVersionSchema> {
	return {pool, version, ageMilliseconds: toAge(ageMilliseconds)};
}

/** Converts a message to a software version that targets of a pool had. */
export function fromSeenVersion(message: SeenVersionMessage): SeenVersion {
	return {
		pool: message.pool as PoolName,
		version: message.version as SoftwareVersion,
		ageMilliseconds: message.ageMilliseconds,
	};
}

/** Converts streams to messages, one for each software version. */
export function toVersionedStreams(
	origins: readonly StreamOrigin[],
): Array<MessageInitShape<typeof VersionedStreamsSchema>> {
	const streams = new Map<string, string[]>();
	for (const {stream, version} of origins) {
		const ofVersion = streams.get(version) ?? [];
		ofVersion.push(stream);
		streams.set(version, ofVersion);
	}

	return [...streams].map(([version, ofVersion]) => ({
		version,
		streams: ofVersion,
	}));
}

/** Converts messages to streams. */
export function fromVersionedStreams(
	messages: readonly VersionedStreams[],
): StreamOrigin[] {
	return messages.flatMap(({version, streams}) =>
		streams.map((stream) => ({
			stream: stream as RequestId,
			version: version as SoftwareVersion,
		})),
	);
}

function fromVersionField(version: string): SoftwareVersion | undefined {
	return version === '' ? undefined : (version as SoftwareVersion);
}

/** Parses the document in a message. */
export function fromDocumentField(
	document: string | undefined,
): DocumentChange | undefined {
	return document === undefined
		? undefined
		: decodeForwardingDocument(document).match<DocumentChange>(
				(readable) => ({kind: 'document', document: readable}),
				(reason) => ({
					kind: 'unreadable',
					reason: `sent by another host: ${reason}`,
				}),
			);
}

/** Converts the reporting host of a message to a candidate for a relay. Undefined when no call can be made to its address. */
export function toRelayCandidate(
	message: ReportRequest,
): RelayCandidate | undefined {
	if (!isHostAddress(message.peerAddress)) {
		return undefined;
	}

	return {
		host: message.host as HostId,
		failureDomain: message.failureDomain as FailureDomain,
		peerAddress: message.peerAddress,
		capacity: message.capacity,
		memberCount: Math.max(1, message.members.length),
	};
}

/** Returns the addresses of hosts in a message at which calls can be made. */
export function fromPeerAddresses(addresses: readonly string[]): string[] {
	return addresses.filter((address) => isHostAddress(address));
}

/** Converts an entry of the target list to a message. */
export function toListedTarget(
	target: ListedTarget,
): MessageInitShape<typeof ListedTargetSchema> {
	const {
		id,
		residency,
		localWeights,
		isLeaving,
		revision,
		softwareVersion,
		...rest
	} = target;
	return {
		...rest,
		softwareVersion: softwareVersion ?? '',
		...(revision ? {revision: toRevisionMessage(revision)} : {}),
		target: id,
		leaving: isLeaving,
		incarnation: residency.incarnation,
		models: residency.models.map(({model, adapters}) => ({
			model,
			adapters: [...adapters],
		})),
		weightsInMemory: [...localWeights.inMemory],
		weightsOnDisk: [...localWeights.onDisk],
	};
}

/** Converts a message to the changes of the target list. */
export function fromTargetListUpdate(
	update: TargetListUpdate,
): TargetListChange[] {
	return [
		...update.listed.map((message) =>
			isTargetAddress(message.address)
				? {kind: 'listed' as const, target: fromListedTarget(message)}
				: {
						kind: 'malformed' as const,
						target: message.target as TargetId,
						reason: 'the host that reports it sent an invalid address',
					},
		),
		...update.unlisted.map((target, index) => ({
			kind: 'unlisted' as const,
			target: target as TargetId,
			revision: fromRevisionMessage(update.unlistedRevisions[index]),
		})),
	];
}

function fromListedTarget(message: ListedTargetMessage): ListedTarget {
	return {
		id: message.target as TargetId,
		revision: fromRevisionMessage(message.revision),
		pool: message.pool as PoolName,
		softwareVersion: fromVersionField(message.softwareVersion),
		address: message.address,
		failureDomain: message.failureDomain as FailureDomain,
		slots: message.slots,
		isLeaving: message.leaving,
		residency: {
			incarnation: message.incarnation as TargetIncarnation,
			models: message.models.map(({model, adapters}) => ({
				model: model as ModelId,
				adapters: adapters as AdapterId[],
			})),
		},
		localWeights: {
			inMemory: message.weightsInMemory as ModelId[],
			onDisk: message.weightsOnDisk as ModelId[],
		},
	};
}

/** Converts removed entries of the target list to the fields of a message. */
export function toUnlistedFields(
	unlisted: readonly UnlistedTarget[],
): Pick<
	MessageInitShape<typeof TargetListUpdateSchema>,
	'unlisted' | 'unlistedRevisions'
> {
	return {
		unlisted: unlisted.map(({target}) => target),
		unlistedRevisions: unlisted.map(({revision}) =>
			toRevisionMessage(revision ?? {startedAt: 0, writes: 0}),
		),
	};
}

function toRevisionMessage({
	startedAt,
	writes,
}: EntryRevision): MessageInitShape<typeof EntryRevisionSchema> {
	return {startedAt: BigInt(startedAt), writes: BigInt(writes)};
}

function fromRevisionMessage(
	message: EntryRevisionMessage | undefined,
): EntryRevision | undefined {
	return message && message.startedAt > 0n
		? {startedAt: Number(message.startedAt), writes: Number(message.writes)}
		: undefined;
}

/** Converts the content of a target to a message. */
export function toTargetContent(
	content: PlacedContent,
): MessageInitShape<typeof TargetContentSchema> {
	return {
		target: content.target,
		incarnation: content.incarnation,
		models: content.models.map(({model, adapters, isRetiring}) => ({
			model,
			adapters: [...adapters],
			retiring: isRetiring,
		})),
	};
}

/** Converts a message to the content of a target. */
export function fromTargetContent(message: TargetContent): PlacedContent {
	return {
		target: message.target as TargetId,
		incarnation: message.incarnation as TargetIncarnation,
		models: message.models.map(({model, adapters, retiring}) => ({
			model: model as ModelId,
			adapters: adapters as AdapterId[],
			isRetiring: retiring,
		})),
	};
}

/** Converts a lease status to the `lease` field of a response. Without a status the field is left out. */
export function toLeaseField(
	lease: LeaseStatus | undefined,
): Pick<MessageInitShape<typeof ReportResponseSchema>, 'lease'> {
	if (!lease) {
		return {};
	}

	const {position, ageMilliseconds, isExpired, sinceLastOrderMilliseconds} =
		lease;
	return {
		lease: {
			position: BigInt(position),
			ageMilliseconds: toAge(ageMilliseconds),
			expired: isExpired,
			...(sinceLastOrderMilliseconds === undefined
				? {}
				: {
						sinceLastOrderMilliseconds: toAge(sinceLastOrderMilliseconds),
					}),
		},
	};
}

/** Converts a message to a lease status. */
export function fromLeaseState(message: LeaseState): LeaseStatus {
	return {
		position: Number(message.position),
		ageMilliseconds: message.ageMilliseconds,
		isExpired: message.expired,
		sinceLastOrderMilliseconds: message.sinceLastOrderMilliseconds,
	};
}

/** Converts what this host knows of a fingerprint to a message. */
export function toSuspicion(
	report: SuspicionReport,
): MessageInitShape<typeof SuspicionSchema> {
	const {answeredMillisecondsAgo, triedMillisecondsAgo} = report;
	return {
		fingerprint: report.fingerprint,
		deaths: report.deaths.map(({key, ageMilliseconds}) => ({
			key,
			ageMilliseconds: toAge(ageMilliseconds),
		})),
		trials: report.trials,
		...(answeredMillisecondsAgo === undefined
			? {}
			: {answeredMillisecondsAgo: toAge(answeredMillisecondsAgo)}),
		...(triedMillisecondsAgo === undefined
			? {}
			: {triedMillisecondsAgo: toAge(triedMillisecondsAgo)}),
	};
}

/** Converts a message to what another host knows of a fingerprint. */
export function fromSuspicion(message: Suspicion): SuspicionReport {
	return {
		fingerprint: message.fingerprint as Fingerprint,
		deaths: message.deaths.map(({key, ageMilliseconds}) => ({
			key,
			ageMilliseconds,
		})),
		answeredMillisecondsAgo: message.answeredMillisecondsAgo,
		trials: message.trials,
		triedMillisecondsAgo: message.triedMillisecondsAgo,
	};
}

/** Largest number of the 32-bit fields. A larger one would make the whole message fail to encode. */
const maximumField = 4_294_967_295;

/** Converts a time in milliseconds to a field. One of 50 days or more is sent as 50 days. */
function toAge(milliseconds: number): number {
	return Math.min(maximumField, Math.max(0, Math.floor(milliseconds)));
}

/** Converts the rate that a target named to a message. */
export function toTargetRate(
	change: RateChange,
): MessageInitShape<typeof TargetRateSchema> {
	const {target, requestsPerSecond, ageMilliseconds} = change;
	return {
		target,
		...(requestsPerSecond === undefined ? {} : {requestsPerSecond}),
		ageMilliseconds: toAge(ageMilliseconds),
	};
}

/** Converts a message to the rate that a target named. */
export function fromRateChange(message: TargetRate): RateChange {
	const {target, requestsPerSecond, ageMilliseconds} = message;
	return {target: target as TargetId, requestsPerSecond, ageMilliseconds};
}

/** Converts what a target said of being brittle to a message. */
export function toBrittleTarget(
	news: BrittleNews,
): MessageInitShape<typeof BrittleTargetSchema> {
	const {target, refusalsPerSecond, ageMilliseconds} = news;
	return {
		target,
		...(refusalsPerSecond === undefined ? {} : {refusalsPerSecond}),
		ageMilliseconds: toAge(ageMilliseconds),
	};
}

/** Converts a message to what a target said of being brittle. */
export function fromBrittleTarget(message: BrittleTarget): BrittleNews {
	const {target, refusalsPerSecond, ageMilliseconds} = message;
	return {target: target as TargetId, refusalsPerSecond, ageMilliseconds};
}
