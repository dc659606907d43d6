/** Limits by which a host knows in time that a key has been taken away. */
export type RevocationLimits = {
	/** Time since a read of the store began up to which a host relies on its document for keys. */
	readonly reliedOnMilliseconds: number;
	/** Time since that read from which a host reads the store itself, although another host sends it the document. */
	readonly maximumReceivedMilliseconds: number;
	/** Longest wait of a long poll, whose answer tells only what was known at its start. */
	readonly pollMilliseconds: number;
};

/** Shares of the time within which a key that was taken away may still be accepted. The rest of it allows for the rates of clocks. */
const limitShares = {reliedOn: 0.9, maximumReceived: 0.6, poll: 0.2} as const;

/** Derives the limits from the time within which a key that was taken away may still be accepted. */
export function revocationLimits(revokeMilliseconds: number): RevocationLimits {
	return {
		reliedOnMilliseconds: revokeMilliseconds * limitShares.reliedOn,
		maximumReceivedMilliseconds:
			revokeMilliseconds * limitShares.maximumReceived,
		pollMilliseconds: Math.floor(revokeMilliseconds * limitShares.poll),
	};
}
