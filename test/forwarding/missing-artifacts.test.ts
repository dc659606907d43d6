import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
	type AdapterId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {
	ForwardingHarness,
	forwardingDocument,
	model,
} from './forwarding-harness.js';

const document = {
	...forwardingDocument,
	pools: forwardingDocument.pools.map((pool) => ({
		...pool,
		engine: {
			memoryBytes: 1,
			adapterSlots: 1,
			loadsPerSecond: 1,
			models: [
				{
					id: model,
					bytes: 1,
					loadMilliseconds: 1,
					adapterCount: 2,
					adapterBytes: 0,
				},
			],
		},
	})),
};

/** Starts a host with one target that holds the model with the given adapters, or nothing. */
async function startHost(
	context: TestContext,
	adapters: readonly AdapterId[] | undefined,
): Promise<ForwardingHarness> {
	const harness = new ForwardingHarness();
	context.after(async () => harness.stop());
	await harness.start(document);
	harness.list('t', '127.0.0.1:1', {
		residency: {
			incarnation: 't@1' as TargetIncarnation,
			models: adapters ? [{model, adapters}] : [],
		},
	});
	return harness;
}

// Guards against an adapter that is never loaded because the requests for it that were refused do not ask for it.
test('an adapter stays requested for a time after its requests were refused', async (context) => {
	const harness = await startHost(context, ['a2' as AdapterId]);
	const headers = {Model: `${model}/a1`, 'Token-Count': '1,1'};
	const {status} = await harness.call('/stream/x', {headers});
	assert.equal(status, 503);
	assert.deepEqual(
		harness.service
			.demand()
			.adapters.map(({adapter, waiting}) => [adapter, waiting]),
		[['a1', 1]],
	);
});

// Guards against refusals that read the same whether a target offers what they need or not.
test('a refusal says whether the model or the adapter was missing', async (context) => {
	const headers = {Model: `${model}/a1`, 'Token-Count': '1,1'};
	const missingAt = async (adapters: readonly AdapterId[] | undefined) => {
		const harness = await startHost(context, adapters);
		await harness.call('/stream/x', {headers});
		const [answered] = harness.logged('request-answered');
		return answered?.fields.missing;
	};

	assert.equal(await missingAt(undefined), 'model');
	assert.equal(await missingAt([]), 'adapter');
});
