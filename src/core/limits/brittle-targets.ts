import {type Clock} from '../../base/common/clock.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type TargetId} from '../../contracts/ids.js';

/** What a target said of being brittle, for other hosts. Hosts have no common clock, so the time is an age. */
export type BrittleNews = {
	readonly target: TargetId;
	/** Refusals a second above which the target falls over, undefined when its answer named none. */
	readonly refusalsPerSecond: number | undefined;
	readonly ageMilliseconds: number;
};

/** Collaborators of the targets. */
export type BrittleTargetsOptions = {
	readonly clock: Clock;
};

type Announcement = {
	readonly refusalsPerSecond: number | undefined;
	/** Monotonic time of the answer. */
	readonly saidAt: number;
	/** Monotonic time of the answer that other hosts were last told of. */
	readonly sharedAt: number;
	/** Revision at the last change that other hosts should know. */
	readonly revision: number;
};

/** Time after its last answer for which a target counts as brittle. It includes a restart, in which the target answers nothing, and the time that news takes between hosts. */
const announcementLifetimeMilliseconds = 15_000;
/** Age from which an unchanged announcement is shared again, so that it does not expire on hosts that get no answers of the target. */
const repetitionMilliseconds = 3000;
/** Announcements in one message. */
const maximumNews = 100;

/** The targets that say in their answers that they are brittle, and what each has announced. */
export class BrittleTargets {
	/** An answer to this host was the first to say that its target is brittle, or the first to say it no more. */
	readonly observed = new TypedEvent<void>();
	private readonly announcements = new Map<TargetId, Announcement>();
	private currentRevision = 0;

	constructor(private readonly options: BrittleTargetsOptions) {}

	/** Returns the refusals a second above which the target falls over, undefined when it is not brittle. */
	get(target: TargetId): number | undefined {
		const known = this.announcements.get(target);
		return known && this.ageOf(known) < announcementLifetimeMilliseconds
			? known.refusalsPerSecond
			: undefined;
	}

	/** Applies what an answer to this host said. */
	apply(target: TargetId, refusalsPerSecond: number | undefined): void {
		const known = this.announcements.get(target)?.refusalsPerSecond;
		this.update(target, refusalsPerSecond, this.options.clock.monotonic());
		if ((known === undefined) !== (refusalsPerSecond === undefined)) {
			this.observed.publish();
		}
	}

	/** Applies what another host knows. */
	merge({target, refusalsPerSecond, ageMilliseconds}: BrittleNews): void {
		this.update(
			target,
			refusalsPerSecond,
			this.options.clock.monotonic() - ageMilliseconds,
		);
	}

	/** Returns what has changed since a revision, and the revision up to which that goes. */
	changesSince(revision: number): {
		readonly news: readonly BrittleNews[];
		readonly revision: number;
	} {
		if (revision >= this.currentRevision) {
			return {news: [], revision: this.currentRevision};
		}

		const changed = [...this.announcements]
			.filter(([, known]) => known.revision > revision)
			.sort(([, left], [, right]) => left.revision - right.revision);
		return {
			news: changed.slice(0, maximumNews).map(([target, known]) => ({
				target,
				refusalsPerSecond: known.refusalsPerSecond,
				ageMilliseconds: this.ageOf(known),
			})),
			revision:
				changed.length > maximumNews
					? changed[maximumNews]![1].revision - 1
					: this.currentRevision,
		};
	}

	/** Forgets a target that has ended. */
	forget(target: TargetId): void {
		this.announcements.delete(target);
	}

	private update(
		target: TargetId,
		refusalsPerSecond: number | undefined,
		saidAt: number,
	): void {
		const known = this.announcements.get(target);
		const isNews = known
			? saidAt >= known.saidAt
			: refusalsPerSecond !== undefined;
		if (!isNews) {
			return;
		}

		const isShared =
			known !== undefined &&
			known.refusalsPerSecond === refusalsPerSecond &&
			(refusalsPerSecond === undefined ||
				saidAt - known.sharedAt < repetitionMilliseconds);
		if (!isShared) {
			this.currentRevision++;
		}

		this.announcements.set(target, {
			refusalsPerSecond,
			saidAt,
			sharedAt: isShared ? known.sharedAt : saidAt,
			revision: isShared ? known.revision : this.currentRevision,
		});
	}

	private ageOf({saidAt}: Announcement): number {
		return this.options.clock.monotonic() - saidAt;
	}
}
