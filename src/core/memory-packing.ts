/** Memory of one target. */
export type PackingTarget = {
	readonly id: string;
	readonly bytes: number;
};

/** A model with its replicas on distinct targets, and adapters that each need one of the replicas. */
export type PackingModel = {
	readonly id: string;
	readonly bytes: number;
	readonly replicas: number;
	readonly adapters: ReadonlyArray<{
		readonly id: string;
		readonly bytes: number;
	}>;
};

/** Result of a packing. Empty lists mean that everything has its place. */
export type PackingResult = {
	readonly unplacedModels: readonly string[];
	readonly unplacedAdapters: readonly string[];
	/** Targets by model, a witness that the models fit. */
	readonly targetsByModel: ReadonlyMap<string, readonly string[]>;
	/** Target by adapter, a witness that the adapters fit. */
	readonly targetByAdapter: ReadonlyMap<string, string>;
};

type Bin = {
	readonly id: string;
	free: number;
	readonly models: Set<string>;
	readonly adapters: Set<string>;
};

type Step =
	| {
			readonly kind: 'model';
			readonly model: PackingModel;
			readonly wanted: number;
	  }
	| {
			readonly kind: 'adapter';
			readonly model: PackingModel;
			readonly id: string;
			readonly bytes: number;
	  };

/** Bounds the search, which is exponential in the worst case. About half a second on one core. */
const maximumVisits = 5_000_000;

function bundleBytes(model: PackingModel): number {
	return model.adapters.reduce((sum, {bytes}) => sum + bytes, model.bytes);
}

function stepsOf(models: readonly PackingModel[]): Step[] {
	return [...models]
		.sort(
			(left, right) =>
				bundleBytes(right) - bundleBytes(left) || (left.id < right.id ? -1 : 1),
		)
		.flatMap((model): Step[] => [
			...Array.from({length: model.replicas}, (_, replica): Step => ({
				kind: 'model',
				model,
				// The adapters go beside the first replica when there is room.
				wanted: replica === 0 ? bundleBytes(model) : model.bytes,
			})),
			...[...model.adapters]
				.sort((left, right) => right.bytes - left.bytes)
				.map(({id, bytes}): Step => ({kind: 'adapter', model, id, bytes})),
		]);
}

/** Bins that can take a step and the bytes it takes there, the most promising first. */
function candidates(
	step: Step,
	bins: readonly Bin[],
): Array<{readonly bin: Bin; readonly bytes: number}> {
	const {model} = step;
	if (step.kind === 'model') {
		return bins
			.filter((bin) => !bin.models.has(model.id) && bin.free >= model.bytes)
			.sort((left, right) => {
				const leftFits = left.free >= step.wanted;
				const rightFits = right.free >= step.wanted;
				if (leftFits !== rightFits) {
					return leftFits ? -1 : 1;
				}

				// Best fit when all adapters go along, otherwise the largest room.
				return leftFits ? left.free - right.free : right.free - left.free;
			})
			.map((bin) => ({bin, bytes: model.bytes}));
	}

	const beside = bins
		.filter((bin) => bin.models.has(model.id) && bin.free >= step.bytes)
		.sort((left, right) => left.free - right.free)
		.map((bin) => ({bin, bytes: step.bytes}));
	const withReplica = bins
		.filter(
			(bin) =>
				!bin.models.has(model.id) && bin.free >= step.bytes + model.bytes,
		)
		.sort((left, right) => right.free - left.free)
		.map((bin) => ({bin, bytes: step.bytes + model.bytes}));
	return [...beside, ...withReplica];
}

/** Applies a step to a bin and returns a function that reverts it. */
function place(step: Step, bin: Bin, bytes: number): () => void {
	const isNewReplica = !bin.models.has(step.model.id);
	bin.free -= bytes;
	bin.models.add(step.model.id);
	if (step.kind === 'adapter') {
		bin.adapters.add(step.id);
	}

	return () => {
		bin.free += bytes;
		if (step.kind === 'adapter') {
			bin.adapters.delete(step.id);
		}

		if (isNewReplica) {
			bin.models.delete(step.model.id);
		}
	};
}

/** Depth-first search for a packing of all steps, within the bound on visits. */
function search(steps: readonly Step[], bins: readonly Bin[]): boolean {
	let visits = 0;
	const visit = (position: number): boolean => {
		const step = steps[position];
		if (!step) {
			return true;
		}

		visits += bins.length;
		if (visits > maximumVisits) {
			return false;
		}

		const tried = new Set<string>();
		for (const {bin, bytes} of candidates(step, bins)) {
			// Empty bins of equal size are interchangeable.
			const shape = bin.models.size === 0 ? `empty/${bin.free}` : bin.id;
			if (tried.has(shape)) {
				continue;
			}

			tried.add(shape);
			const revert = place(step, bin, bytes);
			if (visit(position + 1)) {
				return true;
			}

			revert();
		}

		return false;
	};

	return visit(0);
}

function newBins(targets: readonly PackingTarget[]): Bin[] {
	return targets.map(({id, bytes}) => ({
		id,
		free: bytes,
		models: new Set(),
		adapters: new Set(),
	}));
}

function hasRoomInTotal(
	targets: readonly PackingTarget[],
	models: readonly PackingModel[],
): boolean {
	const available = targets.reduce((sum, {bytes}) => sum + bytes, 0);
	const needed = models.reduce(
		(sum, model) =>
			sum + bundleBytes(model) + model.bytes * (model.replicas - 1),
		0,
	);
	return needed <= available;
}

function resultOf(
	bins: readonly Bin[],
	unplacedModels: readonly string[],
	unplacedAdapters: readonly string[],
): PackingResult {
	const targetsByModel = new Map<string, string[]>();
	const targetByAdapter = new Map<string, string>();
	for (const bin of bins) {
		for (const model of bin.models) {
			targetsByModel.set(model, [...(targetsByModel.get(model) ?? []), bin.id]);
		}

		for (const adapter of bin.adapters) {
			targetByAdapter.set(adapter, bin.id);
		}
	}

	return {unplacedModels, unplacedAdapters, targetsByModel, targetByAdapter};
}

/**
 * Checks that all models and adapters fit into the memory of the targets together.
 * The check is sound: success comes with a packing. When the bounded search finds none,
 * the result names what a greedy packing by decreasing size leaves over.
 */
export function packMemory(
	targets: readonly PackingTarget[],
	models: readonly PackingModel[],
): PackingResult {
	const steps = stepsOf(models);
	if (hasRoomInTotal(targets, models)) {
		const bins = newBins(targets);
		if (search(steps, bins)) {
			return resultOf(bins, [], []);
		}
	}

	const bins = newBins(targets);
	const unplacedModels = new Set<string>();
	const unplacedAdapters: string[] = [];
	// Models first, so that no model is left out for the sake of an adapter.
	const modelsFirst = [
		...steps.filter(({kind}) => kind === 'model'),
		...steps.filter(({kind}) => kind === 'adapter'),
	];
	for (const step of modelsFirst) {
		const [first] = candidates(step, bins);
		if (first) {
			place(step, first.bin, first.bytes);
		} else if (step.kind === 'model') {
			unplacedModels.add(step.model.id);
		} else if (!unplacedModels.has(step.model.id)) {
			unplacedAdapters.push(step.id);
		}
	}

	return resultOf(bins, [...unplacedModels], unplacedAdapters);
}
