import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type EnginePool} from '../../src/contracts/forwarding-document.js';
import {type ModelId} from '../../src/contracts/ids.js';
import {PlacedFleet, type RequestPattern} from './placed-fleet.js';

// A third of a deployment with 78 targets of 12 slots and two models each, and 135 models: 12 busy ones, and 33 that
// a backlog requests now and then. Demand moves from the busiest models to others, as when an incident begins.
const targetCount = 26;
const slots = 12;
const busyModels = Array.from(
	{length: 12},
	(_, index) => `busy-${index}` as ModelId,
);
const rareModels = Array.from(
	{length: 33},
	(_, index) => `rare-${index}` as ModelId,
);
const runMilliseconds = 1500;

function engine(): EnginePool {
	return {
		memoryBytes: 200,
		adapterSlots: 0,
		loadsPerSecond: 6,
		slots,
		models: [...busyModels, ...rareModels].map((id) => ({
			id,
			bytes: 73,
			loadMilliseconds: 4200,
			adapterCount: 0,
			adapterBytes: 0,
		})),
	};
}

/** Busy models on several targets each by their share, and rare ones on one each as far as there is room. */
function resident(): ModelId[][] {
	const places = [
		...rareModels.slice(0, 20),
		...busyModels.flatMap((model, index) =>
			Array.from({length: index < 4 ? 4 : 2}, () => model),
		),
	];
	const held = Array.from({length: targetCount}, () => [] as ModelId[]);
	for (const [index, model] of places.entries()) {
		const target = held[index % targetCount]!;
		if (target.length < 2 && !target.includes(model)) {
			target.push(model);
		}
	}

	return held;
}

function liveRequests(
	perSecond: number,
	shares: readonly number[],
): RequestPattern[] {
	const total = shares.reduce((sum, share) => sum + share, 0);
	return busyModels.map((model, index) => ({
		model,
		intervalMilliseconds: (1000 * total) / (perSecond * shares[index]!),
		runMilliseconds,
		patienceMilliseconds: 1300,
	}));
}

function backlogRequests(): RequestPattern[] {
	return rareModels.map((model) => ({
		model,
		intervalMilliseconds: 3000,
		runMilliseconds,
		patienceMilliseconds: 8000,
	}));
}

const shares = busyModels.map((_, index) => 1 / (index + 2));
const movedShares = [...shares.slice(6), ...shares.slice(0, 6)];

async function servedShares(
	withBacklog: boolean,
	workAwareSlots: number,
): Promise<{live: number; backlog: number; unserved: string[]}> {
	const fleet = new PlacedFleet({
		engine: engine(),
		resident: resident(),
		slots,
		workAwareSlots,
	});
	const backlog = withBacklog ? backlogRequests() : [];
	await fleet.run(5000);
	await fleet.run(8000, [...liveRequests(110, shares), ...backlog]);
	await fleet.run(12_000, [...liveRequests(110, movedShares), ...backlog]);
	const shareOf = (models: readonly ModelId[]) => {
		let requests = 0;
		let served = 0;
		for (const model of models) {
			requests += fleet.counts.get(model)?.requests ?? 0;
			served += fleet.counts.get(model)?.served ?? 0;
		}

		return served / Math.max(1, requests);
	};

	return {
		live: shareOf(busyModels),
		backlog: shareOf(rareModels),
		unserved: fleet.servedLate(10_000),
	};
}

test('a backlog over many models does not take the slots of live requests', async (context) => {
	const alone = await servedShares(false, slots);
	const before = await servedShares(true, 0);
	const shared = await servedShares(true, slots);
	context.diagnostic(JSON.stringify({alone, before, shared}));
	assert.ok(shared.live >= 0.95 * alone.live);
	assert.deepEqual(shared.unserved, []);
});
