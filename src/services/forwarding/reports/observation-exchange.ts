import {type BrittleTargets} from '../../../core/limits/brittle-targets.js';
import {type NamedRateLimits} from '../../../core/limits/named-rate-limits.js';
import {type ReportResponse} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {type CrashObserver} from '../targets/crash-observer.js';
import {type StreamOriginSharing} from '../state/stream-origin-sharing.js';
import {
	fromBrittleTarget,
	fromRateChange,
	fromSeenVersion,
	fromSuspicion,
	fromVersionedStreams,
	type ReporterState,
} from './report-messages.js';

/** State of the exchange with one other process. */
type Peer = {
	/** Name of its process. */
	readonly source: string;
	/** Revisions of what it knows, up to which this host has it. */
	readonly received: Revisions;
	/** Revisions of what this host knows, up to which the other process has it. */
	readonly delivered: Revisions;
};

type Revisions = {
	suspicions: number;
	rates: number;
	streams: number;
	brittle: number;
};

const noRevisions: Revisions = {
	suspicions: 0,
	rates: 0,
	streams: 0,
	brittle: 0,
};
/** Other hosts whose state is kept. A host exchanges with its owner, its relay and a few others. */
const maximumPeers = 32;

/**
 * Exchanges with other hosts what their answers have shown of targets: suspicions against requests that crash them, the
 * rates that they name, which of them are brittle, and the software versions at which streams began. Sends what each host does not know yet, and
 * again when a call has failed.
 */
export class ObservationExchange {
	/** By address. */
	private readonly peers = new Map<string, Peer>();

	constructor(
		private readonly crashes: CrashObserver,
		private readonly limits: NamedRateLimits,
		private readonly streams: StreamOriginSharing,
		private readonly brittle: BrittleTargets,
	) {}

	/** Returns what a report to the host at an address contains, and a function that applies its response. */
	prepare(address: string): {
		readonly fields: Pick<
			ReporterState,
			| 'suspicions'
			| 'rates'
			| 'knownObservationSource'
			| 'knownSuspicionRevision'
			| 'knownRateRevision'
			| 'knownStreamRevision'
			| 'streams'
			| 'versions'
			| 'wantsVersionReport'
			| 'brittle'
			| 'knownBrittleRevision'
		>;
		readonly applyResponse: (response: ReportResponse) => void;
	} {
		const peer = this.peers.get(address);
		const suspicions = this.crashes.changesSince(
			peer?.delivered.suspicions ?? 0,
		);
		const rates = this.limits.changesSince(peer?.delivered.rates ?? 0);
		const streams = this.streams.changesForReceiver(
			peer?.delivered.streams ?? 0,
		);
		const brittle = this.brittle.changesSince(peer?.delivered.brittle ?? 0);
		return {
			fields: {
				brittle: brittle.news,
				knownBrittleRevision: peer?.received.brittle ?? 0,
				suspicions: suspicions.reports,
				rates: rates.changes,
				knownObservationSource: peer?.source ?? '',
				knownSuspicionRevision: peer?.received.suspicions ?? 0,
				knownRateRevision: peer?.received.rates ?? 0,
				streams: streams.origins,
				versions: this.streams.mixedVersions(),
				wantsVersionReport: this.streams.lacksVersions,
				knownStreamRevision: peer?.received.streams ?? 0,
			},
			applyResponse: (response) => {
				this.applyResponse(address, response, {
					suspicions: suspicions.revision,
					rates: rates.revision,
					streams: streams.revision,
					brittle: brittle.revision,
				});
			},
		};
	}

	private applyResponse(
		address: string,
		response: ReportResponse,
		delivered: Revisions,
	): void {
		const {source, suspicions, rates} = response;
		const known = this.peers.get(address);
		const peer =
			known?.source === source
				? known
				: {
						source,
						received: {...noRevisions},
						delivered: {...noRevisions},
					};
		advance(peer.delivered, delivered);
		advance(peer.received, {
			suspicions: Number(response.suspicionRevision),
			rates: Number(response.rateRevision),
			streams: Number(response.streamRevision),
			brittle: Number(response.brittleRevision),
		});
		this.streams.merge(fromVersionedStreams(response.streams), 'upstream');
		this.streams.learnVersions({
			versions: response.versions.map(fromSeenVersion),
			reachMilliseconds: response.versionReachMilliseconds ?? 0,
		});
		this.peers.delete(address);
		this.peers.set(address, peer);
		if (this.peers.size > maximumPeers) {
			const [oldest] = this.peers.keys();
			this.peers.delete(oldest!);
		}

		this.crashes.merge(suspicions.map(fromSuspicion));
		for (const rate of rates) {
			this.limits.merge(fromRateChange(rate));
		}

		for (const target of response.brittle) {
			this.brittle.merge(fromBrittleTarget(target));
		}
	}
}

/** Responses to concurrent calls may arrive out of order. */
function advance(revisions: Revisions, to: Revisions): void {
	revisions.suspicions = Math.max(revisions.suspicions, to.suspicions);
	revisions.rates = Math.max(revisions.rates, to.rates);
	revisions.brittle = Math.max(revisions.brittle, to.brittle);
	revisions.streams = Math.max(revisions.streams, to.streams);
}
