import {Buffer} from 'node:buffer';
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {fleetDocumentSchema} from '../../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type LogOffset,
	type ModelId,
	type RecordId,
	type TargetId,
} from '../../contracts/ids.js';
import {ClaimIndex} from '../../core/claims/claim-index.js';
import {PlacementPlanner} from '../../core/placement/placement-planner.js';
import {
	type HeldArtifact,
	type PlacementTarget,
} from '../../core/placement/placement-policy.js';
import {buildFleetDocument} from './fleet-document.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const gigabyte = 1_000_000_000;

/** Memory and time per idempotency key in the claim index. Times are in microseconds, sizes in bytes. */
export type ClaimCost = {
	readonly bytesPerKey: number;
	readonly microsecondsPerRecord: number;
	readonly recordBytes: number;
};

/** Applies a claim record and a planUntilStable record for each key to a new index and measures heap growth and time. */
export function measureClaims(keys: number): ClaimCost {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const index = new ClaimIndex();
	let recordBytes = 0;
	let milliseconds = 0;
	for (let key = 0; key < keys; key++) {
		const commonFields = {
			caller: `caller-${key % 1000}`,
			key: `5b1c7f0e-idempotency-key-${key}`,
			requestId: `0190a7c1-0000-7000-8000-${String(key).padStart(12, '0')}`,
			incarnation: '9068dc2b-69ba-45c5-a2f7-fc6a6cf5c269',
		};
		// Serialized and parsed again, as records arrive at a host as text; otherwise keys would share string memory.
		const serializedRecords = [
			{
				...commonFields,
				kind: 'key-claimed',
				bodyDigest: 'd'.repeat(64),
				host: 'host-17',
				time: 0,
				expiresAt: 1,
			},
			{
				...commonFields,
				kind: 'key-settled',
				outcome: {
					status: 200,
					contentType: 'application/json',
					body: Buffer.from(`{"order":${key}}`).toString('base64'),
				},
			},
		].map((body) => JSON.stringify(body));
		const startedAt = performance.now();
		for (const [part, text] of serializedRecords.entries()) {
			recordBytes += text.length;
			index.apply({
				id: `record-${key}-${part}` as RecordId,
				offset: (key * 2 + part) as LogOffset,
				body: JSON.parse(text) as unknown,
			});
		}

		milliseconds += performance.now() - startedAt;
	}

	collectGarbage();
	const bytes = process.memoryUsage().heapUsed - before;
	return {
		bytesPerKey: bytes / index.size,
		microsecondsPerRecord: (milliseconds * 1000) / keys / 2,
		recordBytes: recordBytes / keys / 2,
	};
}

/** Moves and pass times of placement planning for one fleet size. */
export type PlanningCost = {
	readonly targets: number;
	readonly models: number;
	/** Model loads from an empty fleet until a pass plans no more moves. */
	readonly initialLoads: number;
	readonly initialPassMilliseconds: number;
	readonly steadyPassMilliseconds: number;
	/** Model loads and unloads after the demand of a tenth of the models grew tenfold. */
	readonly movedLoads: number;
	readonly movedUnloads: number;
	readonly movedPassMilliseconds: number;
};

/**
 * Plans an empty fleet until a pass plans no more moves, then raises the demand of a tenth of the models tenfold
 * and plans again. All moves take effect immediately.
 */
export function measurePlanning(targets: number, models: number): PlanningCost {
	const document = fleetDocumentSchema.parse(
		buildFleetDocument(
			{targets, models, members: 1, role: 'entry', extraRecords: 0},
			'http://127.0.0.1:1',
		),
	);
	const states = document.pools.flatMap((pool) =>
		pool.targets.map((definition) => ({
			id: definition.id,
			failureDomain: definition.failureDomain,
			// The document sets 80 GB for each target.
			memoryBytes: definition.memoryBytes,
			slots: definition.slots,
			state: 'live' as const,
			reservedBytes: 0,
			held: new Map<ArtifactKey, HeldArtifact>(),
			planned: new Set<ArtifactKey>(),
		})),
	);
	const baseDemand = (targets * 8 * 0.5) / models;
	const demand = new Map<ModelId, number>(
		document.models.map(({id}) => [id, baseDemand]),
	);
	const planner = new PlacementPlanner();
	const planUntilStable = () => {
		const total = {loads: 0, unloads: 0, first: 0, last: 0};
		for (let pass = 0; pass < 20; pass++) {
			const startedAt = performance.now();
			const {moves} = planner.plan({
				models: document.models,
				adapters: document.adapters,
				targets: states,
				demand,
				limits: document.weightStore,
			});
			total.last = performance.now() - startedAt;
			total.first = pass === 0 ? total.last : total.first;
			if (moves.length === 0) {
				break;
			}

			for (const {action, target, artifact} of moves) {
				const state = states.find(({id}) => id === target)!;
				const isModel = artifact.kind === 'model';
				if (action === 'load') {
					state.held.set(artifact.key, {
						bytes: artifact.bytes,
						state: 'resident',
					});
					state.planned.add(artifact.key);
					total.loads += isModel ? 1 : 0;
				} else {
					state.held.delete(artifact.key);
					state.planned.delete(artifact.key);
					total.unloads += isModel ? 1 : 0;
				}
			}
		}

		return total;
	};

	const initial = planUntilStable();
	const popularModels = document.models.slice(0, Math.ceil(models / 10));
	for (const {id} of popularModels) {
		demand.set(id, baseDemand * 10);
	}

	const moved = planUntilStable();
	return {
		targets,
		models,
		initialLoads: initial.loads,
		initialPassMilliseconds: initial.first,
		steadyPassMilliseconds: initial.last,
		movedLoads: moved.loads,
		movedUnloads: moved.unloads,
		movedPassMilliseconds: moved.first,
	};
}
