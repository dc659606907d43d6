import {z} from 'zod';
import {toFinite} from '../base/common/finite-number.js';
import {type CustomerQuota} from './forwarding-document.js';

/** Characters of a wrong value in the reason of a refusal. */
const maximumShownCharacters = 20;

/** A number of a quota. The reason of a refusal names the value and the limit, to which the path is added. */
const quotaNumberSchema = z
	.number({error: describeNumber})
	.nonnegative({error: describeNumber})
	.nullish();

/** What a quota counts, in the same way. */
const quotaUnitSchema = z
	.enum(['requests', 'tokens'], {
		error: ({input}) =>
			`expected "requests" or "tokens", received ${describeValue(input)}`,
	})
	.nullish();

/** Schemas of the values of a quota. */
export const quotaSchemas = {
	number: quotaNumberSchema,
	unit: quotaUnitSchema,
} as const;

/** Returns the quota of these values. A limit of 0, like an absent one, is none. */
export function toQuota({
	unit,
	perSecond,
	burst,
	plainUnits,
}: {
	readonly unit?: z.infer<typeof quotaUnitSchema>;
	readonly perSecond?: z.infer<typeof quotaNumberSchema>;
	readonly burst?: z.infer<typeof quotaNumberSchema>;
	readonly plainUnits?: z.infer<typeof quotaNumberSchema>;
}): CustomerQuota | undefined {
	return perSecond
		? {
				unit: unit ?? 'requests',
				perSecond: toFinite(perSecond),
				burst: toFinite(burst ?? 0),
				plainUnits: unit === 'tokens' ? toFinite(plainUnits ?? 0) : 1,
			}
		: undefined;
}

function describeNumber({input}: {readonly input?: unknown}): string {
	return `expected a number of at least 0, received ${describeValue(input)}`;
}

function describeValue(value: unknown): string {
	return typeof value === 'number'
		? String(value)
		: typeof value === 'string'
			? JSON.stringify(value.slice(0, maximumShownCharacters))
			: typeof value;
}
