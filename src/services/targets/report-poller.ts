import {Disposable} from '../../base/common/disposable.js';
import {type TargetDirectory, type KnownTarget} from './target-directory.js';

/** Asks every engine for its report at a fixed interval, one request a target at a time. */
export class ReportPoller extends Disposable {
	private timer: NodeJS.Timeout | undefined;
	private readonly asked = new Set<string>();

	constructor(
		private readonly targets: TargetDirectory,
		private readonly intervalMilliseconds: number,
		private readonly isResponsible: (target: KnownTarget) => boolean,
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
			if (target.engine && this.isResponsible(target)) {
				void this.poll(target);
			}
		}
	}

	private async poll(target: KnownTarget): Promise<void> {
		const {id} = target.definition;
		if (!target.engine || this.asked.has(id)) {
			return;
		}

		this.asked.add(id);
		const report = await target.engine.report();
		this.asked.delete(id);
		if (report.isOk()) {
			this.targets.observe(report.value, 0);
			return;
		}

		this.targets.markUnavailable(id, 'unreachable');
	}
}
