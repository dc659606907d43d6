import {type ReportResponse} from '../../generated/daisylever/owner/v1/owner_pb.js';
import {type CrashObserver} from './crash-observer.js';
import {fromSuspicion, type ReporterState} from './report-messages.js';

/** State of the exchange with one other process. */
type Peer = {
	/** Name of its process. */
	readonly source: string;
	/** Revision of its suspicions up to which this host has them. */
	receivedRevision: number;
	/** Revision of the suspicions of this host up to which the other process has them. */
	deliveredRevision: number;
};

/** Other hosts whose state is kept. A host exchanges with its owner, its relay and a few others. */
const maximumPeers = 32;

/** Exchanges suspicions with other hosts: sends what each does not know yet, and again when a call has failed. */
export class SuspicionExchange {
	/** By address. */
	private readonly peers = new Map<string, Peer>();

	constructor(private readonly crashes: CrashObserver) {}

	/** Returns what a report to the host at an address contains, and a function that applies its response. */
	prepare(address: string): {
		readonly fields: Pick<
			ReporterState,
			'suspicions' | 'knownSuspicionSource' | 'knownSuspicionRevision'
		>;
		readonly applyResponse: (response: ReportResponse) => void;
	} {
		const peer = this.peers.get(address);
		const {reports, revision} = this.crashes.changesSince(
			peer?.deliveredRevision ?? 0,
		);
		return {
			fields: {
				suspicions: reports,
				knownSuspicionSource: peer?.source ?? '',
				knownSuspicionRevision: peer?.receivedRevision ?? 0,
			},
			applyResponse: (response) => {
				this.applyResponse(address, response, revision);
			},
		};
	}

	private applyResponse(
		address: string,
		{source, suspicions, suspicionRevision}: ReportResponse,
		deliveredRevision: number,
	): void {
		const known = this.peers.get(address);
		// Responses to concurrent calls may arrive out of order.
		const peer =
			known?.source === source
				? known
				: {source, receivedRevision: 0, deliveredRevision: 0};
		peer.receivedRevision = Math.max(
			peer.receivedRevision,
			Number(suspicionRevision),
		);
		peer.deliveredRevision = Math.max(
			peer.deliveredRevision,
			deliveredRevision,
		);
		this.peers.delete(address);
		this.peers.set(address, peer);
		if (this.peers.size > maximumPeers) {
			const [oldest] = this.peers.keys();
			this.peers.delete(oldest!);
		}

		this.crashes.merge(suspicions.map(fromSuspicion));
	}
}
