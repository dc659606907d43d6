import {
	type Adapter,
	type FleetDocument,
	type Model,
} from './fleet-document.js';
import {type AdapterId, type ArtifactKey, type ModelId} from './ids.js';

/** What an engine can load: a model, or an adapter on top of a model. */
export type ArtifactKind = 'model' | 'adapter';

/** One version of a model or adapter. */
export type Artifact = {
	readonly key: ArtifactKey;
	readonly kind: ArtifactKind;
	/** Accelerator memory that one replica takes. */
	readonly bytes: number;
};

/** Returns the artifact of a model. */
export function modelArtifact(model: Model): Artifact {
	return {
		key: `model/${model.id}@${model.version}` as ArtifactKey,
		kind: 'model',
		bytes: model.bytes,
	};
}

/** Returns the artifact of an adapter. */
export function adapterArtifact(adapter: Adapter): Artifact {
	return {
		key: `adapter/${adapter.id}@${adapter.version}` as ArtifactKey,
		kind: 'adapter',
		bytes: adapter.bytes,
	};
}

/**
 * Returns the keys of the artifacts that must be resident on a target to serve a model and adapter.
 * A model or adapter that the document does not define is left out.
 */
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

/** What no target of a pool offers of what a request needs. */
export type MissingArtifact = 'model' | 'adapter';
