import {z} from 'zod';
import {sha256} from '../base/common/digest.js';
import {type KeyDigest} from './ids.js';

/** Characters of the longest key of a customer. */
const maximumKeyLength = 1024;

/** Keys of a customer, which are kept as digests only. */
export const keyDigestsSchema = z.array(
	z
		.string()
		.min(1)
		.max(maximumKeyLength)
		.transform((key) => sha256(key) as KeyDigest),
);

/** Returns the digest of a key, undefined for one that no customer can hold. */
export function digestOfKey(key: string | undefined): KeyDigest | undefined {
	return key === undefined || key === '' || key.length > maximumKeyLength
		? undefined
		: (sha256(key) as KeyDigest);
}
