import {type CustomerQuota} from '../../contracts/forwarding-document.js';
import {unitsSince, type ReportedUse} from './quota-messages.js';

/** What all hosts together may exceed a quota by in a window. */
export type QuotaTolerance = {
	readonly windowSeconds: number;
	/** Share of the units that a window allows. */
	readonly excessShare: number;
	/** Units in addition. */
	readonly slackUnits: number;
};

/** How far hosts may go without word of the owner. */
export type QuotaMargins = {
	/** Units that the owner admits beyond the bucket, which covers the uneven arrival of requests. */
	readonly reserveUnits: number;
	/** Age up to which a host uses the word of the owner. */
	readonly maximumWordAgeMilliseconds: number;
	/** Units by which a host may exceed the use that it has reported, besides the rest of one request. */
	readonly growthUnits: number;
	/** Units by which the use of one host may exceed its reported demand by chance, for a customer near its limit. */
	readonly unevenUnits: number;
};

/** Share of the excess that the owner admits beyond the bucket. */
const reserveShare = 0.1;
/** Share of the excess and of the burst that hosts may use before the owner knows of it. */
const growthShare = 0.25;
/** Share of the excess for chance. */
const unevenShare = 0.25;
/** The growth of a host and that of its relay are unknown to the owner at the same time. */
const growthHops = 2;
/** Share of the excess for the use of hosts that are cut off and go on with the last word. */
const staleShare = 0.5;
/** Part of a customer's use that may be cut off from the owner at once. */
const cutOffShare = 0.125;
/** A report takes two hops of up to 0.5 s and the response as many, mostly less. With a shorter age the hosts of a large fleet would have no usable word between two reports. */
const minimumWordAgeMilliseconds = 2000;
/** Requests, and standard deviations of the use in the time since the report, by which the use may exceed the reported demand by chance. With fewer, hosts with few requests a second would ask for word at every second one. */
const unevenRequests = 2;
const unevenDeviations = 1;
/** Longest time for which the demand of a host that was killed takes a part of the rate. */
export const maximumWordAgeMilliseconds = 4000;

/** Largest fleet whose hosts all report to the owner. */
const maximumDirectHosts = 12;
/** Time from the use of units until the hosts have word of what the owner decides of it: a report and its response, through a relay in a large fleet. With a shorter time in the rule of the allocation, the admitted share would oscillate. */
const directFeedbackMilliseconds = 600;
const relayedFeedbackMilliseconds = 1500;

/** Returns the time from the use of units until the hosts have word of what the owner decides of it. */
export function feedbackMilliseconds(hostCount: number): number {
	return hostCount <= maximumDirectHosts
		? directFeedbackMilliseconds
		: relayedFeedbackMilliseconds;
}

/** Returns the excess that is allowed in one window. */
export function allowedExcess(
	{perSecond, burst}: CustomerQuota,
	{windowSeconds, excessShare, slackUnits}: QuotaTolerance,
): number {
	return (perSecond * windowSeconds + burst) * excessShare + slackUnits;
}

/**
 * Divides the allowed excess E of a quota with rate R and burst B among its causes:
 *
 * - The owner's reserve is E / 10.
 * - Each of N hosts, and each relay for its hosts, may grow by g beyond what it has reported: 2 N g = (E + B) / 4.
 * - Near the limit, the use of each host may exceed what it has reported by c because requests arrive unevenly:
 *   N c = E / 4.
 * - Hosts that are cut off go on with up to an eighth of R in sum while their word is usable: R / 8 * T = E / 2.
 */
export function quotaMargins(
	quota: CustomerQuota,
	tolerance: QuotaTolerance,
	hostCount: number,
): QuotaMargins {
	const excess = allowedExcess(quota, tolerance);
	return {
		reserveUnits: excess * reserveShare,
		maximumWordAgeMilliseconds: Math.min(
			maximumWordAgeMilliseconds,
			Math.max(
				minimumWordAgeMilliseconds,
				(1000 * staleShare * excess) / (cutOffShare * quota.perSecond),
			),
		),
		growthUnits:
			((excess + quota.burst) * growthShare) /
			(growthHops * Math.max(1, hostCount)),
		unevenUnits: (excess * unevenShare) / Math.max(1, hostCount),
	};
}

/** Use of a customer by a host, or by a relay and its hosts. */
export type GrowingUse = {
	readonly units: number;
	/** State that the receiver of the reports knows. */
	readonly confirmed: ReportedUse;
	/** Share of the demand that the owner admits. */
	readonly admittedShare: number;
	/** Usual size of a request, or of what one host reports at once. */
	readonly usualUnits: number;
	/** Hosts whose growth the units contain. */
	readonly hosts: number;
	/** True for a customer near its limit when newer word should have come, so that the use may not grow at all. */
	readonly isOutdated: boolean;
	/** True for a customer near its limit. */
	readonly isLimited: boolean;
};

/** True while the units that the receiver of the reports does not know are explained by chance or covered by the growth that is allowed without word. */
export function isWithinGrowth(
	use: GrowingUse,
	margins: QuotaMargins,
	now: number,
): boolean {
	const {units, confirmed, admittedShare, usualUnits, hosts} = use;
	const {growthUnits, unevenUnits, maximumWordAgeMilliseconds} = margins;
	const elapsed = Math.min(maximumWordAgeMilliseconds, now - confirmed.at);
	const expected = (admittedShare * confirmed.demand * elapsed) / 1000;
	const growth = use.isOutdated
		? 0
		: growthUnits * hosts +
			Math.min(
				unevenRequests * usualUnits,
				use.isLimited ? unevenUnits * hosts : Number.POSITIVE_INFINITY,
			) +
			unevenDeviations * Math.sqrt(expected * usualUnits);
	return unitsSince(units, confirmed.units) <= expected + growth;
}

/** Returns the units that a request counts. At least 1, so that no limit is without effect. */
export function requestUnits(
	{unit, plainUnits}: CustomerQuota,
	{
		promptTokens,
		maximumTokens,
	}: {readonly promptTokens: number; readonly maximumTokens: number},
): number {
	if (unit === 'requests') {
		return 1;
	}

	const tokens = promptTokens + maximumTokens;
	return Math.max(1, Math.ceil(tokens > 0 ? tokens : plainUnits));
}
