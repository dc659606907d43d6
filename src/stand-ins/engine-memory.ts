import {type ResidentArtifact} from '../contracts/engine.js';
import {type ArtifactKey} from '../contracts/ids.js';

/** Accounts for the accelerator memory of an engine stand-in. */
export class EngineMemory {
	/** Highest number of bytes held at a time, loads in flight included. */
	highestBytes = 0;
	/** Loads that would have held more bytes than there are. */
	overcommits = 0;
	private readonly artifacts = new Map<ArtifactKey, ResidentArtifact>();

	constructor(
		readonly capacityBytes: number,
		/** Takes loads beyond the capacity instead of refusing them. */
		private readonly acceptsOvercommit: boolean,
	) {}

	/** Bytes of all artifacts, loading and unloading ones included. */
	get heldBytes(): number {
		let bytes = 0;
		for (const artifact of this.artifacts.values()) {
			bytes += artifact.bytes;
		}

		return bytes;
	}

	/** All artifacts in order of their loads. */
	list(): readonly ResidentArtifact[] {
		return [...this.artifacts.values()];
	}

	get(key: ArtifactKey): ResidentArtifact | undefined {
		return this.artifacts.get(key);
	}

	/** True when a version of the model or adapter can serve. */
	isResident(kind: 'model' | 'adapter', id: string): boolean {
		const prefix = `${kind}/${id}@`;
		return this.list().some(
			(artifact) =>
				artifact.state === 'resident' && artifact.key.startsWith(prefix),
		);
	}

	/** Reserves memory for a load. Returns false when the load is refused. */
	reserve(key: ArtifactKey, bytes: number): boolean {
		const wanted = this.heldBytes + bytes;
		if (wanted > this.capacityBytes) {
			this.overcommits++;
			if (!this.acceptsOvercommit) {
				return false;
			}
		}

		this.highestBytes = Math.max(this.highestBytes, wanted);
		this.artifacts.set(key, {key, bytes, state: 'loading'});
		return true;
	}

	/** Marks an artifact that is still there with a state. */
	mark(key: ArtifactKey, state: ResidentArtifact['state']): void {
		const artifact = this.artifacts.get(key);
		if (artifact) {
			this.artifacts.set(key, {...artifact, state});
		}
	}

	/** Frees the memory of an artifact. */
	free(key: ArtifactKey): void {
		this.artifacts.delete(key);
	}

	/** Frees everything and keeps the counters. */
	clear(): void {
		this.artifacts.clear();
	}
}
