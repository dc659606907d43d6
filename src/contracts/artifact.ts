import {
	type Adapter,
	type FleetDocument,
	type Model,
} from './fleet-document.js';
import {type AdapterId, type ArtifactKey, type ModelId} from './ids.js';

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

/** Keys of what a target must hold to answer for a model and adapter. Empty when the document names no such model. */
export function requiredArtifactKeys(
	document: FleetDocument | undefined,
	needed: {
		readonly model: ModelId;
		readonly adapter?: AdapterId | undefined;
	},
): ArtifactKey[] {
	const model = document?.models.find((item) => item.id === needed.model);
	const adapter =
		needed.adapter === undefined
			? undefined
			: document?.adapters.find((item) => item.id === needed.adapter);
	return [
		...(model ? [modelArtifact(model).key] : []),
		...(adapter ? [adapterArtifact(adapter).key] : []),
	];
}
