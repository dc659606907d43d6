import {type ResidentArtifact} from '../contracts/engine.js';
import {type ArtifactKey} from '../contracts/ids.js';

/** Tracks the accelerator memory that the artifacts of an engine stand-in occupy. */
export class EngineMemory {
	/** Peak memory usage in bytes, including loads in progress. */
	highestBytes = 0;
	/** Number of loads that would have exceeded the capacity, whether accepted or refused. */
	overcommits = 0;
	private readonly artifacts = new Map<ArtifactKey, ResidentArtifact>();

	constructor(
		readonly capacityBytes: number,
		/** Accepts loads that exceed the capacity instead of refusing them. */
		private readonly acceptsOvercommit: boolean,
	) {}

	/** Bytes of all artifacts, including those being loaded or unloaded. */
	get heldBytes(): number {
		let bytes = 0;
		for (const artifact of this.artifacts.values()) {
			bytes += artifact.bytes;
		}

		return bytes;
	}

	/** All artifacts in the order in which they were loaded. */
	list(): readonly ResidentArtifact[] {
		return [...this.artifacts.values()];
	}

	/** Returns an artifact in any state, or undefined when it occupies no memory. */
	get(key: ArtifactKey): ResidentArtifact | undefined {
		return this.artifacts.get(key);
	}

	/** True when any version of the model or adapter is resident. */
	isResident(kind: 'model' | 'adapter', id: string): boolean {
		const prefix = `${kind}/${id}@`;
		return this.list().some(
			(artifact) =>
				artifact.state === 'resident' && artifact.key.startsWith(prefix),
		);
	}

	/** Reserves memory for a load. Returns false when the load exceeds the capacity and overcommit is not accepted. */
	reserve(key: ArtifactKey, bytes: number): boolean {
		const bytesAfterLoad = this.heldBytes + bytes;
		if (bytesAfterLoad > this.capacityBytes) {
			this.overcommits++;
			if (!this.acceptsOvercommit) {
				return false;
			}
		}

		this.highestBytes = Math.max(this.highestBytes, bytesAfterLoad);
		this.artifacts.set(key, {key, bytes, state: 'loading'});
		return true;
	}

	/** Sets the state of an artifact. Has no effect when the artifact was freed. */
	mark(key: ArtifactKey, state: ResidentArtifact['state']): void {
		const artifact = this.artifacts.get(key);
		if (artifact) {
			this.artifacts.set(key, {...artifact, state});
		}
	}

	/** Frees the memory of an artifact. Has no effect when it was freed before. */
	free(key: ArtifactKey): void {
		this.artifacts.delete(key);
	}

	/** Frees the memory of all artifacts but keeps the counters. */
	clear(): void {
		this.artifacts.clear();
	}
}
