import {type ModelId} from '../../contracts/ids.js';

/** Counts the requests that run or wait on this host, for each model. */
export class DemandCounter {
	private readonly counts = new Map<ModelId, number>();

	/** Requests in progress by model. */
	get requestsByModel(): ReadonlyMap<ModelId, number> {
		return this.counts;
	}

	/** Notes that a request began. The returned function notes its end. */
	trackRequest(model: ModelId): () => void {
		this.add(model, 1);
		let isInside = true;
		return () => {
			if (isInside) {
				isInside = false;
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
