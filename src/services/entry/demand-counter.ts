import {type ModelId} from '../../contracts/ids.js';

/** Counts the requests of each model that are running or queued on this host. */
export class DemandCounter {
	private readonly counts = new Map<ModelId, number>();

	/** Number of running and queued requests by model. Models without requests are absent. */
	get requestsByModel(): ReadonlyMap<ModelId, number> {
		return this.counts;
	}

	/** Counts a request as started. The returned function counts it as ended; only its first call has an effect. */
	trackRequest(model: ModelId): () => void {
		this.add(model, 1);
		let isActive = true;
		return () => {
			if (isActive) {
				isActive = false;
				this.add(model, -1);
			}
		};
	}

	private add(model: ModelId, amount: number): void {
		const count = (this.counts.get(model) ?? 0) + amount;
		if (count > 0) {
			this.counts.set(model, count);
			return;
		}

		this.counts.delete(model);
	}
}
