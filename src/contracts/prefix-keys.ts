import {type PromptPartId} from './ids.js';

/**
 * Returns the keys of all prefixes of a prompt, the longest first. A target caches a part for one model and adapter and
 * only together with all parts before it, so the key of a prefix consists of the model, the adapter and the ids of all
 * its parts.
 */
export function prefixKeysOf(
	parts: readonly PromptPartId[],
	model: string | undefined,
	adapter: string | undefined,
): string[] {
	const prefixes: string[] = [];
	let path = `${model ?? ''}/${adapter ?? ''}`;
	for (const part of parts) {
		path += `|${part}`;
		prefixes.unshift(path);
	}

	return prefixes;
}
