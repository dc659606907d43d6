import {canonicalJson, sha256} from '../base/common/digest.js';
import {type GenerationRequest} from './engine.js';

/**
 * Digests of the prompt prefixes of a request, one per message, the shortest first.
 * Engines name prefixes by these digests in their cache events.
 */
export function promptPrefixDigests(
	request: Pick<GenerationRequest, 'model' | 'adapter' | 'messages'>,
): readonly string[] {
	let digest = baseDigest(request.model, request.adapter ?? null);
	return request.messages.map((message) => {
		digest = sha256(`${digest}${canonicalJson(message)}`);
		return digest;
	});
}

// The document names few models and adapters; the bound is for requests that do not come from it.
const maximumBaseDigests = 4096;
const baseDigests = new Map<string, string>();

function baseDigest(model: string, adapter: string | null): string {
	const name = canonicalJson([model, adapter]);
	let digest = baseDigests.get(name);
	if (digest === undefined) {
		digest = sha256(name);
		if (baseDigests.size < maximumBaseDigests) {
			baseDigests.set(name, digest);
		}
	}

	return digest;
}
