import {type Clock} from '../../base/common/clock.js';
import {type TargetId, type TargetIncarnation} from '../../contracts/ids.js';

/** A target that said that it leaves. */
export type LeavingTarget = {
	readonly target: TargetId;
	readonly incarnation: TargetIncarnation;
};

/** Time for which a target is remembered after it said that it leaves. Targets end within seconds; the list may name them for longer. */
const memoryMilliseconds = 600_000;

/** Time for which other hosts are told, in each report: longer than a new owner needs to take over. */
const sharedMilliseconds = 10_000;

/** Targets that said in an answer that they leave. Only another incarnation returns, whatever the target list says. */
export class LeavingTargets {
	private readonly incarnations = new Map<
		TargetId,
		{readonly incarnation: TargetIncarnation; readonly recordedAt: number}
	>();

	constructor(private readonly clock: Clock) {}

	/** Records that an incarnation leaves. Returns true when that is new. */
	record({target, incarnation}: LeavingTarget): boolean {
		if (this.isLeaving(target, incarnation)) {
			return false;
		}

		this.forgetExpired();
		this.incarnations.set(target, {
			incarnation,
			recordedAt: this.clock.monotonic(),
		});
		return true;
	}

	/** True when this incarnation said that it leaves. */
	isLeaving(target: TargetId, incarnation: TargetIncarnation): boolean {
		return this.incarnations.get(target)?.incarnation === incarnation;
	}

	/** Targets that said so lately, for other hosts. */
	recent(): LeavingTarget[] {
		const earliest = this.clock.monotonic() - sharedMilliseconds;
		return [...this.incarnations]
			.filter(([, {recordedAt}]) => recordedAt >= earliest)
			.map(([target, {incarnation}]) => ({target, incarnation}));
	}

	private forgetExpired(): void {
		const expired = this.clock.monotonic() - memoryMilliseconds;
		for (const [target, {recordedAt}] of this.incarnations) {
			if (recordedAt < expired) {
				this.incarnations.delete(target);
			}
		}
	}
}
