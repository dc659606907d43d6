import {type Fingerprint} from './ids.js';

/** What one host knows about a fingerprint that may crash targets. Hosts have no common clock, so times are ages. */
export type SuspicionReport = {
	readonly fingerprint: Fingerprint;
	/** Ended targets on which requests with the fingerprint were in flight. */
	readonly deaths: ReadonlyArray<{
		/** Target and incarnation. */
		readonly key: string;
		readonly ageMilliseconds: number;
	}>;
	/** Time since a request with the fingerprint was last answered completely, undefined if none was. */
	readonly answeredMillisecondsAgo?: number | undefined;
	/** Number of requests that were sent although the fingerprint was quarantined, to find out whether it still crashes targets. */
	readonly trials: number;
	/** Time since the last trial, undefined before the first one. */
	readonly triedMillisecondsAgo?: number | undefined;
};
