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
import {ClaimIndex} from '../../core/claim-index.js';
import {PlacementPlanner} from '../../core/placement-planner.js';
import {
	type HeldArtifact,
	type PlacementTarget,
} from '../../core/placement-policy.js';
import {documentOf} from './fleet-document.js';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;
const gigabyte = 1_000_000_000;

/** Cost of one remembered idempotency key. */
export type ClaimCost = {
	readonly bytesPerKey: number;
	readonly microsecondsPerRecord: number;
	readonly recordBytes: number;
};

/** Folds claimed and settled keys into an index and measures memory and time. */
export function measureClaims(keys: number): ClaimCost {
	collect();
	const before = process.memoryUsage().heapUsed;
	const index = new ClaimIndex();
	let recordBytes = 0;
	let milliseconds = 0;
	for (let key = 0; key < keys; key++) {
		const shared = {
			caller: `caller-${key % 1000}`,
			key: `5b1c7f0e-idempotency-key-${key}`,
			requestId: `0190a7c1-0000-7000-8000-${String(key).padStart(12, '0')}`,
			incarnation: '9068dc2b-69ba-45c5-a2f7-fc6a6cf5c269',
		};
		// Records reach a host as text, so their strings are its own.
		const texts = [
			{
				...shared,
				kind: 'key-claimed',
				bodyDigest: 'd'.repeat(64),
				host: 'host-17',
				time: 0,
				expiresAt: 1,
			},
			{
				...shared,
				kind: 'key-settled',
				outcome: {
					status: 200,
					contentType: 'application/json',
					body: Buffer.from(`{"order":${key}}`).toString('base64'),
				},
			},
		].map((body) => JSON.stringify(body));
		const startedAt = performance.now();
		for (const [part, text] of texts.entries()) {
			recordBytes += text.length;
			index.apply({
				id: `record-${key}-${part}` as RecordId,
				offset: (key * 2 + part) as LogOffset,
				body: JSON.parse(text) as unknown,
			});
		}

		milliseconds += performance.now() - startedAt;
	}

	collect();
	const bytes = process.memoryUsage().heapUsed - before;
	return {
		bytesPerKey: bytes / index.size,
		microsecondsPerRecord: (milliseconds * 1000) / keys / 2,
		recordBytes: recordBytes / keys / 2,
	};
}

/** Cost of planning a fleet. */
export type PlanningCost = {
	readonly targets: number;
	readonly models: number;
	/** Passes from an empty fleet until nothing moves any more. */
	readonly initialLoads: number;
	readonly initialPassMilliseconds: number;
	readonly steadyPassMilliseconds: number;
	/** Model loads and unloads after the demand of a tenth of the models grew tenfold. */
	readonly movedLoads: number;
	readonly movedUnloads: number;
	readonly movedPassMilliseconds: number;
};

/** Plans an empty fleet until it is placed, then moves the demand tenfold. All moves take effect at once. */
export function measurePlanning(targets: number, models: number): PlanningCost {
	const document = fleetDocumentSchema.parse(
		documentOf(
			{targets, models, members: 1, role: 'entry', extraRecords: 0},
			'http://127.0.0.1:1',
		),
	);
	const states = document.pools.flatMap((pool) =>
		pool.targets.map((definition) => ({
			id: definition.id,
			failureDomain: definition.failureDomain,
			// Room for the models of the document, at most 80 GB for each target.
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
	const settle = () => {
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

	const initial = settle();
	const hot = document.models.slice(0, Math.ceil(models / 10));
	for (const {id} of hot) {
		demand.set(id, baseDemand * 10);
	}

	const moved = settle();
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
