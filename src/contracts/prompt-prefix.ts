import {canonicalJson, sha256} from '../base/common/digest.js';
import {type GenerationRequest} from './engine.js';

/**
 * Returns the digests of the prompt prefixes of a request, one per message, the shortest first.
 * Engines use the same digests to identify prefixes in their cache events.
 */
export function promptPrefixDigests(
	request: Pick<GenerationRequest, 'model' | 'adapter' | 'messages'>,
): readonly string[] {
	let digest = modelDigest(request.model, request.adapter ?? null);
	return request.messages.map((message) => {
		digest = sha256(`${digest}${canonicalJson(message)}`);
		return digest;
	});
}

// The digests of models and adapters are cached. A document defines few of them; the limit bounds the cache when
// requests name others.
const maximumCachedDigests = 4096;
const modelDigests = new Map<string, string>();

function modelDigest(model: string, adapter: string | null): string {
	const name = canonicalJson([model, adapter]);
	let digest = modelDigests.get(name);
	if (digest === undefined) {
		digest = sha256(name);
		if (modelDigests.size < maximumCachedDigests) {
			modelDigests.set(name, digest);
		}
	}

	return digest;
}
