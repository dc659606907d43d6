import {type Clock} from '../../base/common/clock.js';
import {type FailureDomain, type HostId} from '../../contracts/ids.js';

/** What a host reports of its load. */
export type ReportedHostLoad = {
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	readonly isReady: boolean;
	/** True while the host asks for the permission to be not ready. */
	readonly wantsRest: boolean;
	readonly delayMilliseconds: number;
	/** Share of its processor share that the host uses. */
	readonly usedShare: number;
};

/** Collaborators and thresholds of the grants. */
export type ReadinessGrantsOptions = {
	readonly clock: Clock;
	/** Largest share of the hosts of a failure domain that are not ready at once. The load balancer uses all hosts of one with fewer than half in rotation, and some are down for other reasons. */
	readonly maximumShare?: number;
	/** Time for which a grant counts. Longer than a host is not ready, with the age of the response. */
	readonly validMilliseconds?: number;
	/** Age from which a report no longer counts. */
	readonly maximumAgeMilliseconds?: number;
};

type KnownHost = ReportedHostLoad & {readonly reportedAt: number};

type Grant = {readonly failureDomain: FailureDomain; readonly until: number};

/** Permits the hosts of a failure domain, a few at once, to say that they are not ready. Run by the owner alone. */
export class ReadinessGrants {
	private readonly options: Required<ReadinessGrantsOptions>;
	private readonly hosts = new Map<HostId, KnownHost>();
	/** Grants, with the monotonic time until which they count. A host that freezes keeps its grant although its reports end. */
	private readonly granted = new Map<HostId, Grant>();
	private ownerSince = Number.POSITIVE_INFINITY;
	private ownerSeenAt = Number.NEGATIVE_INFINITY;

	constructor(options: ReadinessGrantsOptions) {
		this.options = {
			maximumShare: 0.25,
			validMilliseconds: 6000,
			maximumAgeMilliseconds: 3000,
			...options,
		};
	}

	/** Notes that this host is the owner. Grants begin when those of the owner before have expired. */
	confirmOwner(): void {
		const {clock, maximumAgeMilliseconds} = this.options;
		const now = clock.monotonic();
		if (now - this.ownerSeenAt > maximumAgeMilliseconds) {
			this.ownerSince = now;
		}

		this.ownerSeenAt = now;
	}

	/** Takes the report of a host. */
	record(load: ReportedHostLoad, ageMilliseconds: number): void {
		const reportedAt = this.options.clock.monotonic() - ageMilliseconds;
		if (reportedAt >= (this.hosts.get(load.host)?.reportedAt ?? reportedAt)) {
			this.hosts.set(load.host, {...load, reportedAt});
		}
	}

	/** Hosts whose reports are recent. */
	known(): readonly KnownHost[] {
		const oldest =
			this.options.clock.monotonic() - this.options.maximumAgeMilliseconds;
		for (const [host, {reportedAt}] of this.hosts) {
			if (reportedAt < oldest) {
				this.hosts.delete(host);
			}
		}

		return [...this.hosts.values()];
	}

	/** Time for which a host may be not ready, undefined while it may not. */
	grantFor(host: HostId): number | undefined {
		const {clock, maximumShare, validMilliseconds} = this.options;
		const now = clock.monotonic();
		// Nearly all hosts ask for nothing, so that the others are looked at only for one that does.
		const asking = this.hosts.get(host);
		if (!asking?.wantsRest || now - this.ownerSince < validMilliseconds) {
			return undefined;
		}

		this.removeExpired(now);
		const granted = this.granted.get(host);
		if (granted) {
			return granted.until - now;
		}

		const {failureDomain} = asking;
		const domain = this.known().filter(
			(each) => each.failureDomain === failureDomain,
		);
		const away = new Set(
			[...this.granted]
				.filter(([, grant]) => grant.failureDomain === failureDomain)
				.map(([name]) => name),
		);
		for (const each of domain.filter(({isReady}) => !isReady)) {
			away.add(each.host);
		}

		if (away.size + 1 > Math.floor(domain.length * maximumShare)) {
			return undefined;
		}

		this.granted.set(host, {failureDomain, until: now + validMilliseconds});
		return validMilliseconds;
	}

	private removeExpired(now: number): void {
		for (const [host, {until}] of this.granted) {
			if (until <= now) {
				this.granted.delete(host);
			}
		}
	}
}
