import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {type FailureDomain, type HostId} from '../../../contracts/ids.js';
import {type RequestCodec} from '../../../contracts/request-codec.js';
import {HostLoadPolicy} from '../../../core/admission/host-load-policy.js';
import {HostReadiness} from '../../../core/admission/host-readiness.js';
import {ReadinessGrants} from '../../../core/admission/readiness-grants.js';
import {type ReportPart} from '../reports/report-part.js';
import {HostIntake, type RefusingRequestHandler} from './host-intake.js';
import {HostLoadMonitor} from './host-load-monitor.js';
import {HostLoadReports} from './host-load-reports.js';

/** Settings and collaborators of the control of a host's load. */
export type HostLoadControlOptions = {
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	readonly processorShare: number;
	/** False for a host that handles all requests whatever its load. */
	readonly isLimited: boolean;
	/** True if the host may say that it is not ready because of its load. */
	readonly mayWithdrawReadiness: boolean;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly codec: RequestCodec;
	readonly handler: () => RefusingRequestHandler;
	readonly document: () => ForwardingDocument | undefined;
	/** True while this host serves, whatever its load. */
	readonly isServing: () => boolean;
	readonly isOwner: () => boolean;
};

/** The parts that measure the load of a host, limit its work and decide on its readiness. */
export class HostLoadControl extends Disposable {
	/** Receives the requests of callers. */
	readonly intake: HostIntake;
	/** Subjects of the reports between hosts. */
	readonly reportParts: readonly ReportPart[];
	private readonly readiness: HostReadiness;
	private readonly monitor: HostLoadMonitor;

	constructor(private readonly options: HostLoadControlOptions) {
		super();
		const {clock, document, processorShare, isLimited, mayWithdrawReadiness} =
			options;
		const policy = new HostLoadPolicy({clock, processorShare});
		this.readiness = new HostReadiness({clock});
		this.intake = new HostIntake({...options, policy});
		if (!isLimited) {
			this.intake.passAll();
		}

		this.monitor = new HostLoadMonitor({
			...options,
			policy,
			readiness: this.readiness,
			intake: this.intake,
			objectives: () =>
				document()?.routes.map((route) => route.latencyObjectiveMilliseconds) ??
				[],
		});
		this.reportParts =
			isLimited && mayWithdrawReadiness
				? [
						new HostLoadReports({
							...options,
							policy,
							readiness: this.readiness,
							grants: new ReadinessGrants({clock}),
						}),
					]
				: [];
	}

	/** False while the load balancer is to send no new connections because of the load. */
	get isReady(): boolean {
		return this.readiness.isReady;
	}

	/** Starts to measure. */
	start(): void {
		if (this.options.isLimited) {
			this.monitor.start();
		}
	}

	dispose(): void {
		this.monitor.dispose();
	}
}
