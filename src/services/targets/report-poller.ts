import {Disposable} from '../../base/common/disposable.js';
import {type TargetReport} from '../../contracts/engine.js';
import {
	type FencingToken,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type ServiceReport} from '../../contracts/plain-service.js';
import {type TargetDirectory, type TrackedTarget} from './target-directory.js';

/** Asks targets for their reports at a fixed interval, one request a target at a time. */
export class ReportPoller extends Disposable {
	private timer: NodeJS.Timeout | undefined;
	private readonly inFlight = new Set<string>();

	constructor(
		private readonly targets: TargetDirectory,
		private readonly intervalMilliseconds: number,
		private readonly isResponsible: (target: TrackedTarget) => boolean,
	) {
		super();
	}

	/** Starts to poll. */
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
					.map((load) => toTargetReport(target, load));
		this.inFlight.delete(id);
		if (report?.isOk()) {
			this.targets.observeReport(report.value, 0);
			return;
		}

		this.targets.markUnavailable(id, 'unreachable');
	}
}

/** A plain service reports its load only; the rest of a target's report is empty. */
function toTargetReport(
	target: TrackedTarget,
	load: ServiceReport,
): TargetReport {
	return {
		...load,
		target: target.definition.id,
		incarnation: load.incarnation as TargetIncarnation,
		role: 'service',
		memoryBytes: 0,
		artifacts: [],
		highestToken: 0 as FencingToken,
		appliedOrders: [],
	};
}
