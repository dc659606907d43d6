import {type Adapter, type Model} from './fleet-document.js';
import {type ArtifactKey} from './ids.js';

/** Kinds of things that an engine loads. */
export type ArtifactKind = 'model' | 'adapter';

/** A model or adapter in one version with the memory it takes. */
export type Artifact = {
	readonly key: ArtifactKey;
	readonly kind: ArtifactKind;
	readonly bytes: number;
};

/** The artifact of a model. */
export function modelArtifact(model: Model): Artifact {
	return {
		key: `model/${model.id}@${model.version}` as ArtifactKey,
		kind: 'model',
		bytes: model.bytes,
	};
}

/** The artifact of an adapter. */
export function adapterArtifact(adapter: Adapter): Artifact {
	return {
		key: `adapter/${adapter.id}@${adapter.version}` as ArtifactKey,
		kind: 'adapter',
		bytes: adapter.bytes,
	};
}
