import {canonicalJson, sha256} from '../base/common/digest.js';
import {type GenerationRequest} from './engine.js';

/**
 * Digests of the prompt prefixes of a request, one per message, the shortest first.
 * Engines name prefixes by these digests in their cache events.
 */
export function promptPrefixes(
	request: Pick<GenerationRequest, 'model' | 'adapter' | 'messages'>,
): readonly string[] {
	let digest = sha256(canonicalJson([request.model, request.adapter ?? null]));
	return request.messages.map((message) => {
		digest = sha256(`${digest}${canonicalJson(message)}`);
		return digest;
	});
}
