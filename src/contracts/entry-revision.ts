import {type TargetId, type TargetIncarnation} from './ids.js';
import {type EntryRevision} from './listed-target.js';

/** Highest count of the writes or orders of a target, which it does not reach in 60 years. A higher one would make all its later counts look older. */
export const maximumTargetCount = 2_147_483_647;
/** Latest start of a target that is taken as a time in milliseconds, the year 2100. A later one would make all its later starts look older. */
const latestStart = 4_102_444_800_000;

/** Returns the revision of an entry, or undefined when its numbers are missing or implausible. */
export function toEntryRevision(
	startedAt: number | undefined,
	writes: number | undefined,
): EntryRevision | undefined {
	return isCount(startedAt, latestStart) && isCount(writes, maximumTargetCount)
		? {startedAt, writes}
		: undefined;
}

/** Converts digits to a count of the writes of a target, or returns undefined when it is implausible. */
export function toTargetCount(digits: string | undefined): number | undefined {
	const count = Number(digits ?? Number.NaN);
	return isCount(count, maximumTargetCount) ? count : undefined;
}

/** Returns the incarnation of a target. One that restarts under its id names another start time. */
export function toIncarnation(
	target: TargetId,
	startedAt: number | undefined,
): TargetIncarnation {
	return `${target}@${startedAt ?? 0}` as TargetIncarnation;
}

function isCount(value: number | undefined, maximum: number): value is number {
	return Number.isSafeInteger(value) && value! >= 0 && value! <= maximum;
}
