import {Disposable} from '../../base/common/disposable.js';
import {type TargetReport} from '../../contracts/engine.js';
import {
	type FencingToken,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type ServiceReport} from '../../contracts/plain-service.js';
import {type TargetDirectory, type TrackedTarget} from './target-directory.js';

/** Polls targets for their reports at a fixed interval, with at most one request in flight for each target. */
export class ReportPoller extends Disposable {
	private timer: NodeJS.Timeout | undefined;
	private readonly inFlight = new Set<string>();

	constructor(
		private readonly targets: TargetDirectory,
		private readonly intervalMilliseconds: number,
		/** Whether this host polls the target. */
		private readonly isResponsible: (target: TrackedTarget) => boolean,
	) {
		super();
	}

	/** Polls once immediately and then at each interval. */
	start(): void {
		this.timer = setInterval(() => {
			this.pollAll();
		}, this.intervalMilliseconds);
		this.pollAll();
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	private pollAll(): void {
		for (const target of this.targets.all()) {
			if (this.isResponsible(target)) {
				void this.poll(target);
			}
		}
	}

	private async poll(target: TrackedTarget): Promise<void> {
		const {id} = target.definition;
		if (this.inFlight.has(id)) {
			return;
		}

		this.inFlight.add(id);
		const report = target.engine
			? await target.engine.fetchReport()
			: await target.service
					?.fetchReport()
					.map((serviceReport) => toTargetReport(target, serviceReport));
		this.inFlight.delete(id);
		if (report?.isOk()) {
			this.targets.observeReport(report.value, 0);
			return;
		}

		this.targets.markUnavailable(id, 'unreachable');
	}
}

/** Converts the report of a plain service, which contains only its load. The other fields are empty. */
function toTargetReport(
	target: TrackedTarget,
	serviceReport: ServiceReport,
): TargetReport {
	return {
		...serviceReport,
		target: target.definition.id,
		incarnation: serviceReport.incarnation as TargetIncarnation,
		role: 'service',
		memoryBytes: 0,
		artifacts: [],
		highestToken: 0 as FencingToken,
		appliedOrders: [],
	};
}
