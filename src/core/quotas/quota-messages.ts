/** Number of a customer in reports, derived from its name. */
export type QuotaKey = number;

/** Use of one customer's quota by a host, or by a relay and its hosts. */
export type QuotaUse = {
	readonly key: QuotaKey;
	/** Units taken since the process started, modulo 2^32. Units that did not run are subtracted. */
	readonly units: number;
	/** Units among them that no response has confirmed, for a receiver that does not know the process. */
	readonly unconfirmedUnits: number;
	/** Units per second of the requests that arrive, those that are refused included. */
	readonly demand: number;
};

/** What a host reports of quotas. */
export type QuotaReport = {
	/** Number of the process, so that the sums of its predecessor are not continued. */
	readonly process: number;
	readonly sequence: number;
	readonly uses: readonly QuotaUse[];
	/** True when requests wait for the response. */
	readonly isWaiting: boolean;
};

/** Word about a customer near its limit. */
export type QuotaWord = {
	readonly key: QuotaKey;
	/** Share of the demand that is admitted. The admitted rate of a host is this share of the demand that it reported. */
	readonly admittedShare: number;
	/** The same without what the bucket had saved up, for a word that no newer one follows. */
	readonly sustainedShare: number;
	/** Use of the fleet as a share of the quota, for operators. */
	readonly usedShare: number;
	/** True when the customer is near its limit. Word that only asks to wait is false here. */
	readonly isLimited: boolean;
	/** True when the sender has not told the owner of the use yet, so that the host must not grow further. */
	readonly isPending: boolean;
};

/** The response to a report. Customers that it does not name are far from their limits. */
export type QuotaResponse = {
	/** Sequence of the report that is answered. */
	readonly sequence: number;
	/** Time since the owner computed the words. */
	readonly ageMilliseconds: number;
	readonly words: readonly QuotaWord[];
};

/** Use of a quota as a report contains it. */
export type ReportedUse = {
	readonly units: number;
	readonly demand: number;
	/** Monotonic time of the report. */
	readonly at: number;
};

const modulus = 2 ** 32;

/** Difference of two sums modulo 2^32, negative if units were returned. */
export function unitsSince(current: number, earlier: number): number {
	const difference = addUnits(current, -earlier);
	return difference < modulus / 2 ? difference : difference - modulus;
}

/** A sum modulo 2^32. */
export function addUnits(sum: number, units: number): number {
	return (((sum + units) % modulus) + modulus) % modulus;
}
