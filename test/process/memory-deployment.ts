import {sha256} from '../../src/base/common/digest.js';
import {
	send,
	type TestFleet,
	type TestHost,
	type TestStandIn,
} from './processes.js';
import {callerKey, statisticsOf} from './test-deployment.js';

const failureDomains = ['palermo', 'catania', 'messina'] as const;

/** Memory of each engine in the memory tests. */
export const engineBytes = 1000;

/** An engine with its place in the document. */
export type TestEngine = {
	readonly id: string;
	readonly pool: string;
	readonly failureDomain: string;
	readonly standIn: TestStandIn;
};

/** A model as the memory tests write it. */
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

/** Starts one engine in each failure domain. They take overcommitting loads, so that a wrong order does harm. */
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

/** Builds a document with an offering for each model and adapter. */
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

/** The offerings of the document. */
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

/** Names of models and adapters of the document that no engine holds in their version. */
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

/** Asks for one short answer of an offering. */
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
