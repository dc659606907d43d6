import {type Clock} from '../../../base/common/clock.js';
import {type FailureDomain, type HostId} from '../../../contracts/ids.js';
import {type HostLoadPolicy} from '../../../core/admission/host-load-policy.js';
import {type HostReadiness} from '../../../core/admission/host-readiness.js';
import {
	type ReadinessGrants,
	type ReportedHostLoad,
} from '../../../core/admission/readiness-grants.js';
import {
	type HostLoad,
	type ReportRequest,
	type ReportResponse,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {
	ReportPart,
	type ReportFields,
	type ReportResponseFields,
	type ResponseSender,
} from '../reports/report-part.js';

/** Collaborators of the reports. */
export type HostLoadReportsOptions = {
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	readonly clock: Clock;
	readonly policy: HostLoadPolicy;
	readonly readiness: HostReadiness;
	readonly grants: ReadinessGrants;
	/** True while this host is ready apart from its load. */
	readonly isServing: () => boolean;
	readonly isOwner: () => boolean;
};

const permillePerShare = 1000;
/** Interval at which a relay passes on what is usual of its hosts. A report counts for three times as long. */
const usualReportMilliseconds = 1000;

/** Reports the load and the readiness of the hosts, and passes on the owner's permissions to be not ready. */
export class HostLoadReports extends ReportPart {
	/** Permissions of the hosts that report to this one, with the monotonic time until which they are valid. */
	private readonly relayed = new Map<HostId, number>();

	/** Monotonic time at which the load of each host was passed on last. */
	private readonly reportedAt = new Map<HostId, number>();

	constructor(private readonly options: HostLoadReportsOptions) {
		super();
	}

	requestFields(): ReportFields {
		const {clock, grants, host} = this.options;
		this.recordOwn();
		const now = clock.monotonic();
		const known = grants.known();
		removeOthers(this.reportedAt, known);
		removeOthers(this.relayed, known);
		const loads = known.filter((load) => this.isDue(load, now));
		for (const load of loads) {
			this.reportedAt.set(load.host, now);
		}

		return {
			hostLoads: loads.map((load) => ({
				host: load.host,
				failureDomain: load.failureDomain,
				isReady: load.isReady,
				wantsRest: load.wantsRest,
				delayMilliseconds: Math.round(load.delayMilliseconds),
				usedPermille: Math.round(load.usedShare * permillePerShare),
				ageMilliseconds:
					load.host === host ? 0 : Math.ceil(now - load.reportedAt),
			})),
		};
	}

	handleRequest({hostLoads}: ReportRequest): void {
		for (const load of hostLoads) {
			if (load.host !== this.options.host) {
				this.options.grants.record(fromHostLoad(load), load.ageMilliseconds);
			}
		}
	}

	responseFields({hostLoads}: ReportRequest): ReportResponseFields {
		return {
			readinessGrants: hostLoads.flatMap(({host}) => {
				const validMilliseconds = this.grantOf(host as HostId);
				return validMilliseconds === undefined
					? []
					: [{host, validMilliseconds: Math.floor(validMilliseconds)}];
			}),
		};
	}

	handleResponse(
		{readinessGrants}: ReportResponse,
		{ageMilliseconds}: ResponseSender,
	): void {
		const {clock, host, readiness} = this.options;
		for (const grant of readinessGrants) {
			const milliseconds = grant.validMilliseconds - ageMilliseconds;
			if (grant.host === host) {
				readiness.grant(milliseconds);
			} else {
				this.relayed.set(
					grant.host as HostId,
					clock.monotonic() + milliseconds,
				);
			}
		}
	}

	reportLocally(): void {
		const {grants, host, readiness} = this.options;
		grants.confirmOwner();
		this.recordOwn();
		const granted = grants.grantFor(host);
		if (granted !== undefined) {
			readiness.grant(granted);
		}
	}

	private isDue({host, isReady, wantsRest}: ReportedHostLoad, now: number) {
		const reportedAt = this.reportedAt.get(host) ?? Number.NEGATIVE_INFINITY;
		return (
			host === this.options.host ||
			wantsRest ||
			!isReady ||
			now - reportedAt >= usualReportMilliseconds
		);
	}

	private recordOwn(): void {
		const {host, failureDomain, policy, readiness, grants, isServing} =
			this.options;
		grants.record(
			{
				host,
				failureDomain,
				isReady: isServing() && readiness.isReady,
				wantsRest: readiness.wantsRest,
				...policy.measured,
			},
			0,
		);
	}

	private grantOf(host: HostId): number | undefined {
		const {clock, grants, isOwner} = this.options;
		if (isOwner()) {
			return grants.grantFor(host);
		}

		const now = clock.monotonic();
		const until = this.relayed.get(host);
		if (until !== undefined && until <= now) {
			this.relayed.delete(host);
			return undefined;
		}

		return until === undefined ? undefined : until - now;
	}
}

function fromHostLoad(load: HostLoad): ReportedHostLoad {
	return {
		host: load.host as HostId,
		failureDomain: load.failureDomain as FailureDomain,
		isReady: load.isReady,
		wantsRest: load.wantsRest,
		delayMilliseconds: load.delayMilliseconds,
		usedShare: load.usedPermille / permillePerShare,
	};
}

/** Removes the entries of hosts that no longer report, so that hosts that are replaced leave nothing. */
function removeOthers(
	entries: Map<HostId, number>,
	known: readonly ReportedHostLoad[],
): void {
	const names = new Set(known.map(({host}) => host));
	for (const host of entries.keys()) {
		if (!names.has(host)) {
			entries.delete(host);
		}
	}
}
