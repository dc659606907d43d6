import {sha256} from '../../src/base/common/digest.js';
import {
	send,
	type TestFleet,
	type TestHost,
	type TestStandIn,
} from './processes.js';
import {callerKey, statisticsOf} from './test-deployment.js';

const failureDomains = ['palermo', 'catania', 'messina'] as const;

/** Accelerator memory of each engine in the memory tests, in bytes. */
export const engineBytes = 1000;

/** An engine with its pool and failure domain in the document. */
export type TestEngine = {
	readonly id: string;
	readonly pool: string;
	readonly failureDomain: string;
	readonly standIn: TestStandIn;
};

/** A model and its adapters, from which the document of the memory tests is built. */
export type TestModel = {
	readonly id: string;
	readonly pool: string;
	readonly bytes: number;
	readonly version: string;
	readonly adapters: ReadonlyArray<{
		readonly id: string;
		readonly version: string;
	}>;
};

/** Starts one engine in each failure domain. The engines accept overcommit, so that a wrong order shows in their statistics. */
export async function startEngines(
	fleet: TestFleet,
	pool: string,
	honoursFencing: boolean,
	options: Record<string, unknown> = {},
): Promise<TestEngine[]> {
	return Promise.all(
		failureDomains.map(async (failureDomain, index) => {
			const id = `${pool}-${index + 1}`;
			const standIn = await fleet.standIn('engine', {
				target: id,
				memoryBytes: engineBytes,
				slots: 8,
				honoursFencing,
				acceptsOvercommit: true,
				reportLagMilliseconds: 200,
				...options,
			});
			return {id, pool, failureDomain, standIn};
		}),
	);
}

/** Builds a document with one offering for each model and each adapter. */
export function memoryDocument(
	pools: ReadonlyArray<{
		readonly name: string;
		readonly honoursFencing: boolean;
		readonly engines: readonly TestEngine[];
		readonly memoryBytes?: number;
	}>,
	models: readonly TestModel[],
	deadlineSeconds = 10,
) {
	const offerings = offeringsOf(models);
	return {
		schema: 1,
		pools: pools.map(({name, honoursFencing, engines, memoryBytes}) => ({
			name,
			kind: 'engine',
			honoursFencing,
			targets: engines.map(({id, failureDomain, standIn}) => ({
				id,
				failureDomain,
				address: standIn.address,
				memoryBytes: memoryBytes ?? engineBytes,
				slots: 8,
			})),
		})),
		models: models.map(({id, pool, bytes, version}) => ({
			id,
			pool,
			bytes,
			version,
		})),
		adapters: models.flatMap(({id: model, adapters}) =>
			adapters.map(({id, version}) => ({id, model, version, bytes: 20})),
		),
		offerings,
		callerClasses: [{name: 'workshop', urgency: 'urgent', deadlineSeconds}],
		callers: [
			{
				id: 'workshop-7',
				class: 'workshop',
				keyDigests: [sha256(callerKey)],
				offerings: offerings.map(({name}) => name),
			},
		],
		weightStore: {
			loadsPerSecond: 60,
			concurrentLoads: 30,
			concurrentAdapterLoads: 60,
		},
	};
}

/** Returns the offerings of the document, one for each model and each adapter. */
export function offeringsOf(models: readonly TestModel[]) {
	return models.flatMap(({id: model, adapters}) => [
		{name: `of-${model}`, model},
		...adapters.map(({id: adapter}) => ({
			name: `of-${adapter}`,
			model,
			adapter,
		})),
	]);
}

/** Returns the artifact keys of the models and adapters that are resident on no engine in the required version. */
export async function missingArtifacts(
	engines: readonly TestEngine[],
	models: readonly TestModel[],
): Promise<string[]> {
	const resident = new Set<string>();
	for (const {standIn} of engines) {
		const {report} = await statisticsOf(standIn);
		for (const {key, state} of report.artifacts) {
			if (state === 'resident') {
				resident.add(key as string);
			}
		}
	}

	return models
		.flatMap(({id, version, adapters}) => [
			`model/${id}@${version}`,
			...adapters.map((adapter) => `adapter/${adapter.id}@${adapter.version}`),
		])
		.filter((key) => !resident.has(key));
}

/** Requests one short completion of an offering. */
export async function requestCompletion(host: TestHost, offering: string) {
	return send('POST', `${host.callers}/v1/chat/completions`, {
		key: callerKey,
		body: {
			model: offering,
			max_tokens: 4,
			messages: [{role: 'user', content: 'How wide is the ward?'}],
		},
	});
}
