import {type Clock} from '../../base/common/clock.js';
import {type RequestId, type SoftwareVersion} from '../../contracts/ids.js';
import {type StreamOrigin} from '../../contracts/stream-origin.js';

/** Streams that one read returned, and the revision up to which the reader has them. */
export type StreamOriginChanges = {
	readonly origins: readonly StreamOrigin[];
	readonly revision: number;
};

/** From where this host knows a stream: it forwarded it, a host that reports to this one did, or the host to which it reports. */
export type OriginSource = 'own' | 'reporter' | 'upstream';

const originSources: readonly OriginSource[] = ['own', 'reporter', 'upstream'];

type KnownOrigin = StreamOrigin & {
	readonly source: OriginSource;
	readonly revision: number;
	readonly recordedAt: number;
};

/** Longest time after its first event at which a stream may be taken up again. Far longer than the time limits of requests. */
export const streamLifetimeMilliseconds = 60_000;
/** Streams that are remembered. At 500 streams a second they cover the lifetime. */
const maximumStreams = 30_000;

/** Remembers at which software version recent streams began, also those of other hosts, so that they go on at the same version wherever their callers take them up again. */
export class StreamOrigins {
	/** In the order in which they were recorded. */
	private readonly origins = new Map<RequestId, KnownOrigin>();
	private readonly bySource: Record<OriginSource, KnownOrigin[]> = {
		own: [],
		reporter: [],
		upstream: [],
	};

	private currentRevision = 0;
	/** Streams that were forgotten and may still be in the lists by source. */
	private forgotten = 0;

	constructor(private readonly clock: Clock) {}

	/** Records a stream. What is known of it already stays. */
	record(
		stream: RequestId,
		version: SoftwareVersion,
		source: OriginSource,
	): void {
		if (this.origins.has(stream)) {
			return;
		}

		this.currentRevision++;
		const origin = {
			stream,
			version,
			source,
			revision: this.currentRevision,
			recordedAt: this.clock.monotonic(),
		};
		this.origins.set(stream, origin);
		this.bySource[source].push(origin);
		this.forgetOldest();
	}

	/** Returns the version at which a stream began, undefined if it is not known. */
	get(stream: RequestId): SoftwareVersion | undefined {
		return this.origins.get(stream)?.version;
	}

	/** Returns the streams from the given sources that were recorded after a revision. */
	changesSince(
		revision: number,
		sources: readonly OriginSource[],
	): StreamOriginChanges {
		return {
			origins: sources.flatMap((source) => {
				const origins = this.bySource[source];
				const last = origins.findLastIndex(
					(origin) => origin.revision <= revision,
				);
				return origins
					.slice(last + 1)
					.filter(({stream}) => this.origins.has(stream));
			}),
			revision: this.currentRevision,
		};
	}

	private forgetOldest(): void {
		const expired = this.clock.monotonic() - streamLifetimeMilliseconds;
		for (const [stream, {recordedAt}] of this.origins) {
			if (recordedAt >= expired && this.origins.size <= maximumStreams) {
				break;
			}

			this.origins.delete(stream);
			this.forgotten++;
		}

		// The lists are shortened seldom, because each time moves all their entries.
		if (this.forgotten > this.origins.size) {
			this.forgotten = 0;
			for (const source of originSources) {
				this.bySource[source] = this.bySource[source].filter(({stream}) =>
					this.origins.has(stream),
				);
			}
		}
	}
}
