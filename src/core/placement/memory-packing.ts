/** A target and its memory. */
export type PackingTarget = {
	readonly id: string;
	readonly bytes: number;
};

/** A model whose replicas need distinct targets, with adapters that each need a target with one of the replicas. */
export type PackingModel = {
	readonly id: string;
	/** Size of one replica without adapters. */
	readonly bytes: number;
	readonly replicas: number;
	readonly adapters: ReadonlyArray<{
		readonly id: string;
		readonly bytes: number;
	}>;
};

/** Result of {@link packMemory}. Both `unplaced` lists are empty when everything fits. */
export type PackingResult = {
	readonly unplacedModels: readonly string[];
	readonly unplacedAdapters: readonly string[];
	/** The packing that was found: targets by model. */
	readonly targetsByModel: ReadonlyMap<string, readonly string[]>;
	/** The packing that was found: target by adapter. */
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
			/** Free bytes of a target from which it is preferred. */
			readonly preferredBytes: number;
	  }
	| {
			readonly kind: 'adapter';
			readonly model: PackingModel;
			readonly id: string;
			readonly bytes: number;
	  };

/** Bounds the search, which is exponential in the worst case. This many bin visits take about half a second on one core. */
const maximumVisits = 5_000_000;

/** Size of one replica together with all adapters of the model. */
function bytesWithAdapters(model: PackingModel): number {
	return model.adapters.reduce((sum, {bytes}) => sum + bytes, model.bytes);
}

/** One step per replica and adapter, the largest models first. */
function stepsOf(models: readonly PackingModel[]): Step[] {
	return [...models]
		.sort(
			(left, right) =>
				bytesWithAdapters(right) - bytesWithAdapters(left) ||
				(left.id < right.id ? -1 : 1),
		)
		.flatMap((model): Step[] => [
			...Array.from({length: model.replicas}, (_, replica): Step => ({
				kind: 'model',
				model,
				// All adapters are placed with the first replica if they fit.
				preferredBytes: replica === 0 ? bytesWithAdapters(model) : model.bytes,
			})),
			...[...model.adapters]
				.sort((left, right) => right.bytes - left.bytes)
				.map(({id, bytes}): Step => ({kind: 'adapter', model, id, bytes})),
		]);
}

/** Bins with enough memory for a step and the bytes that it takes there, the preferred one first. */
function candidates(
	step: Step,
	bins: readonly Bin[],
): Array<{readonly bin: Bin; readonly bytes: number}> {
	const {model} = step;
	if (step.kind === 'model') {
		return bins
			.filter((bin) => !bin.models.has(model.id) && bin.free >= model.bytes)
			.sort((left, right) => {
				const leftFits = left.free >= step.preferredBytes;
				const rightFits = right.free >= step.preferredBytes;
				if (leftFits !== rightFits) {
					return leftFits ? -1 : 1;
				}

				// Best fit if the preferred bytes are free, otherwise the bin with the most free memory.
				return leftFits ? left.free - right.free : right.free - left.free;
			})
			.map((bin) => ({bin, bytes: model.bytes}));
	}

	const withReplica = bins
		.filter((bin) => bin.models.has(model.id) && bin.free >= step.bytes)
		.sort((left, right) => left.free - right.free)
		.map((bin) => ({bin, bytes: step.bytes}));
	const withNewReplica = bins
		.filter(
			(bin) =>
				!bin.models.has(model.id) && bin.free >= step.bytes + model.bytes,
		)
		.sort((left, right) => right.free - left.free)
		.map((bin) => ({bin, bytes: step.bytes + model.bytes}));
	return [...withReplica, ...withNewReplica];
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

/** Searches depth-first for a packing of all steps. Returns false when there is none or the visits are used up. */
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

		const triedBins = new Set<string>();
		for (const {bin, bytes} of candidates(step, bins)) {
			// Empty bins of equal size are interchangeable, so one of them is enough.
			const equivalenceKey =
				bin.models.size === 0 ? `empty/${bin.free}` : bin.id;
			if (triedBins.has(equivalenceKey)) {
				continue;
			}

			triedBins.add(equivalenceKey);
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

function fitsInTotal(
	targets: readonly PackingTarget[],
	models: readonly PackingModel[],
): boolean {
	const available = targets.reduce((sum, {bytes}) => sum + bytes, 0);
	const needed = models.reduce(
		(sum, model) =>
			sum + bytesWithAdapters(model) + model.bytes * (model.replicas - 1),
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
 * Checks whether all models and adapters fit into the memory of the targets at the same time. The check is sound:
 * success is reported only together with a packing. When the bounded search finds no packing, which does not prove that
 * there is none, the result lists what a greedy packing by decreasing size leaves unplaced.
 */
export function packMemory(
	targets: readonly PackingTarget[],
	models: readonly PackingModel[],
): PackingResult {
	const steps = stepsOf(models);
	if (fitsInTotal(targets, models)) {
		const bins = newBins(targets);
		if (search(steps, bins)) {
			return resultOf(bins, [], []);
		}
	}

	const bins = newBins(targets);
	const unplacedModels = new Set<string>();
	const unplacedAdapters: string[] = [];
	// Models come first, so that no model is left unplaced in favour of an adapter.
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
