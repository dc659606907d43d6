import {sha256} from '../../base/common/digest.js';
import {domainsOf, names, poolsOf, type FleetShape} from './fleet-shape.js';

const gigabyte = 1_000_000_000;
const callers = 1000;
const artifactsPerTarget = 8;

/** Returns the pool and failure domain of the target with an index. */
export function locateTarget(
	shape: FleetShape,
	index: number,
): {readonly pool: string; readonly domain: string} {
	const pools = poolsOf(shape);
	const domains = domainsOf(shape);
	return {
		pool: pools[index % pools.length]!,
		domain: domains[Math.floor(index / pools.length) % domains.length]!,
	};
}

/** Returns the artifacts resident on a target: half models, half adapters. */
export function artifactsOf(
	shape: FleetShape,
	index: number,
): Array<{key: string; bytes: number; state: 'resident'}> {
	const poolCount = poolsOf(shape).length;
	const modelCount = Math.min(
		artifactsPerTarget / 2,
		Math.floor(shape.models / poolCount),
	);
	return Array.from({length: modelCount}, (_, number) => {
		const step = Math.floor(index / poolCount) * modelCount + number;
		const model = (step * poolCount + (index % poolCount)) % shape.models;
		return [
			{key: `model/model-${model}@1`, bytes: 8 * gigabyte},
			{key: `adapter/adapter-${model}@1`, bytes: gigabyte / 10},
		].map((artifact) => ({...artifact, state: 'resident' as const}));
	}).flat();
}

/** Builds a valid fleet document for a shape, with 1000 callers. `engines` is the base address of the targets. */
export function buildFleetDocument(
	shape: FleetShape,
	engines: string,
): unknown {
	const pools = poolsOf(shape);
	const models = Array.from({length: shape.models}, (_, index) => index);
	return {
		schema: 1,
		pools: pools.map((pool) => ({
			name: pool,
			kind: 'engine',
			honoursFencing: true,
			targets: names('target', shape.targets).flatMap((id, index) => {
				const location = locateTarget(shape, index);
				return location.pool === pool
					? [
							{
								id,
								address: `${engines}/${id}`,
								failureDomain: location.domain,
								memoryBytes: 80 * gigabyte,
							},
						]
					: [];
			}),
		})),
		models: models.map((index) => ({
			id: `model-${index}`,
			pool: pools[index % pools.length],
			bytes: 8 * gigabyte,
		})),
		adapters: models.map((index) => ({
			id: `adapter-${index}`,
			model: `model-${index}`,
			bytes: gigabyte / 10,
		})),
		offerings: models.map((index) => ({
			name: `offering-${index}`,
			model: `model-${index}`,
			adapter: `adapter-${index}`,
		})),
		callerClasses: [{name: 'standard', urgency: 'standard'}],
		callers: names('caller', callers).map((id) => ({
			id,
			class: 'standard',
			keyDigests: [sha256(id)],
			offerings: ['offering-0', 'offering-1'],
		})),
		weightStore: {
			loadsPerSecond: 40,
			concurrentLoads: 120,
			concurrentAdapterLoads: 400,
		},
	};
}
