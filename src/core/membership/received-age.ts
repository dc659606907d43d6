/** State in the response to a call. */
export type ReceivedStateTimes = {
	/** Age of the state when the response was written. */
	readonly ageMilliseconds: number;
	/** Time from the start of the call until the response is handled. */
	readonly roundTripMilliseconds: number;
	/** Time for which the receiver held the call before it read the state. 0 if it does not tell. */
	readonly heldMilliseconds: number;
};

/** Largest age that received state can have. The response may have been written long before it is handled, when a link or an event loop is busy. */
export function receivedAge({
	ageMilliseconds,
	roundTripMilliseconds,
	heldMilliseconds,
}: ReceivedStateTimes): number {
	return (
		ageMilliseconds + Math.max(0, roundTripMilliseconds - heldMilliseconds)
	);
}
