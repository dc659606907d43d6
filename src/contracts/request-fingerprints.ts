import {type Fingerprint} from './ids.js';

/** Fingerprints under which the crashes of targets are counted. */
export type RequestFingerprints = {
	/** Digest of the whole request, equal for its repetitions only. */
	readonly request: Fingerprint;
	/** Digests of the messages that other requests may contain too. */
	readonly parts: readonly Fingerprint[];
};
