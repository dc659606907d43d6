import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type RandomSource} from '../../../base/common/random-source.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type TargetId} from '../../../contracts/ids.js';
import {type ResponseMetadata} from '../../../contracts/request-codec.js';
import {BrittleTargets} from '../../../core/limits/brittle-targets.js';
import {RefusalLimits} from '../../../core/limits/refusal-limits.js';

/** Collaborators of the observer. */
export type BrittleObserverOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly hostCount: () => number;
};

/** Status of an answer that turns a request away for want of room. */
const unavailableStatus = 503;

/** Applies what answers say of brittle targets and of their room, and logs it. */
export class BrittleObserver {
	readonly targets: BrittleTargets;
	readonly limits: RefusalLimits;

	constructor(private readonly options: BrittleObserverOptions) {
		this.targets = new BrittleTargets(options);
		this.limits = new RefusalLimits({...options, brittle: this.targets});
		this.limits.heldBack.subscribe((target) => {
			options.events.record(forwardingEvents.brittleTargetLimited, {
				target,
				refusalsPerSecond: this.targets.get(target),
			});
		});
	}

	/** Applies the announcement in an answer to a request, an order or a read of the state. */
	recordAnnouncement(
		target: TargetId,
		refusalsPerSecond: number | undefined,
	): void {
		const before = this.targets.get(target);
		this.targets.apply(target, refusalsPerSecond);
		if (before === refusalsPerSecond) {
			return;
		}

		if (before === undefined) {
			this.options.events.record(forwardingEvents.targetBrittle, {
				target,
				refusalsPerSecond,
			});
		} else if (refusalsPerSecond === undefined) {
			this.options.events.record(forwardingEvents.targetNoLongerBrittle, {
				target,
			});
		}
	}

	/** Applies the head of an answer to a request. */
	recordResponse(target: TargetId, response: ResponseMetadata): void {
		this.recordAnnouncement(target, response.refusalsPerSecond);
		if (response.load) {
			this.limits.recordReport(target, response.load);
		}

		if (response.isNotRun && response.status === unavailableStatus) {
			this.limits.recordRefused(target);
		} else if (response.status < 300) {
			this.limits.recordAccepted(target);
		}
	}

	/** Records that the process of a target has ended. */
	recordRestart(target: TargetId): void {
		this.limits.recordRestart(target);
	}

	/** Forgets a target that is no longer listed. */
	forget(target: TargetId): void {
		this.targets.forget(target);
		this.limits.forget(target);
	}
}
