import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	compareDocuments,
	formatDifferences,
} from '../../src/core/documents/document-difference.js';
import {validateDocument} from '../../src/core/documents/document-validator.js';
import {packMemory} from '../../src/core/placement/memory-packing.js';

const digest = (character: string): string => character.repeat(64);

const createValidDocument = () => ({
	schema: 1,
	pools: [
		{
			name: 'lm',
			kind: 'engine',
			targets: ['a', 'b'].map((id) => ({
				id,
				address: `http://10.0.1.1:${id === 'a' ? 1 : 2}`,
				failureDomain: id,
				memoryBytes: 100,
			})),
		},
		{
			name: 'shop',
			kind: 'service',
			targets: [
				{id: 'c', address: 'http://10.0.1.1:3', failureDomain: 'a'},
			] as Array<Record<string, unknown>>,
		},
	],
	models: [
		{id: 'm1', pool: 'lm', bytes: 60, minimumReplicas: 1},
		{id: 'm2', pool: 'lm', bytes: 50, minimumReplicas: 1},
	],
	adapters: [{id: 'x1', model: 'm1', bytes: 30}],
	offerings: [
		{name: 'drafts', model: 'm1', adapter: 'x1'},
		{name: 'plain', model: 'm2', adapter: undefined as string | undefined},
	],
	services: [
		{
			name: 'orders',
			pool: 'shop',
			routes: [{method: 'GET', pathPrefix: '/', idempotent: true}],
		},
	],
	callerClasses: [{name: 'schools', urgency: 'urgent'}],
	callers: [
		{
			id: 'school-1',
			class: 'schools',
			keyDigests: [digest('a')],
			offerings: ['drafts'],
			services: ['orders'],
		},
	],
	weightStore: {
		loadsPerSecond: 1,
		concurrentLoads: 1,
		concurrentAdapterLoads: 1,
	},
});
type Draft = ReturnType<typeof createValidDocument>;

test('a valid document is accepted and its defaults are applied', () => {
	const result = validateDocument(createValidDocument());
	assert.equal(result.isErr() ? result.error.message : '', '');
	const document = result._unsafeUnwrap();
	assert.equal(document.models[0]?.version, '1');
	assert.equal(document.admission.mode, 'disabled');
});

const invalidDocuments: ReadonlyArray<
	readonly [change: (draft: Draft) => void, expected: string]
> = [
	[
		(draft) => {
			draft.pools[1]!.name = 'lm';
			draft.services[0]!.pool = 'lm';
		},
		'pools[1].name: pool "lm" is already used at pools[0].name',
	],
	[
		(draft) => {
			draft.pools[1]!.targets[0]!.id = 'a';
		},
		'pools[1].targets[0].id: target "a" is already used at pools[0].targets[0].id',
	],
	[
		(draft) => {
			draft.pools[1]!.targets[0]!.address = 'http://10.0.1.1:1';
		},
		'pools[1].targets[0].address: address "http://10.0.1.1:1" is already used at pools[0].targets[0].address',
	],
	[
		(draft) => {
			draft.callers[0]!.keyDigests.push(digest('b'), digest('a'));
		},
		`callers[0].keyDigests[2]: key digest "${digest('a')}" is already used at callers[0].keyDigests[0]`,
	],
	[
		(draft) => {
			draft.callers[0]!.offerings.push('draft');
		},
		'callers[0].offerings[1]: there is no offering "draft"; did you mean "drafts"?',
	],
	[
		(draft) => {
			draft.callers[0]!.class = 'towns';
		},
		'callers[0].class: there is no caller class "towns"',
	],
	[
		(draft) => {
			draft.adapters[0]!.model = 'm9';
		},
		'adapters[0].model: there is no model "m9"; did you mean "m1"?',
	],
	[
		(draft) => {
			draft.offerings[1]!.adapter = 'x1';
		},
		'offerings[1].adapter: adapter "x1" extends model "m1", not "m2"',
	],
	[
		(draft) => {
			draft.models[0]!.bytes = 101;
		},
		'models[0].bytes: model "m1" takes 101 bytes, but the largest target of pool "lm" has 100',
	],
	[
		(draft) => {
			draft.models[1]!.minimumReplicas = 3;
		},
		'models[1].minimumReplicas: model "m2" needs 3 targets, but only 2 of pool "lm" can hold it',
	],
	[
		(draft) => {
			draft.models[1]!.minimumReplicas = 2;
		},
		'models[1]: model "m2" does not fit into the 200 bytes of pool "lm" together with the other models and adapters',
	],
	[
		(draft) => {
			draft.adapters[0]!.bytes = 41;
		},
		'adapters[0].bytes: adapter "x1" takes 41 bytes and fits on no target of pool "lm" beside its model "m1"',
	],
	[
		(draft) => {
			draft.adapters.push({id: 'x2', model: 'm1', bytes: 20});
		},
		'adapters[1]: adapter "x2" does not fit beside its model into the 200 bytes of pool "lm" together with the other models and adapters',
	],
	[
		(draft) => {
			draft.services[0]!.pool = 'lm';
		},
		'services[0].pool: pool "lm" holds engines; a service needs a service pool',
	],
	[
		(draft) => {
			draft.models[1]!.pool = 'shop';
		},
		'models[1].pool: pool "shop" holds plain services; a model needs an engine pool',
	],
	[
		(draft) => {
			Object.assign(draft.models[0]!, {byte: 3});
		},
		'models[0].byte: unknown key "byte"; did you mean "bytes"?',
	],
];

for (const [change, expected] of invalidDocuments) {
	test(`invalid document: ${expected.slice(0, 90)}`, () => {
		const draft = createValidDocument();
		change(draft);
		const error = validateDocument(draft)._unsafeUnwrapErr();
		assert.ok(error.message.split('\n').includes(expected), error.message);
	});
}

test('the validation reports all problems of a document instead of only the first', () => {
	const draft = createValidDocument();
	draft.models[0]!.pool = 'nowhere';
	draft.callers[0]!.class = 'nobody';
	draft.services[0]!.pool = 'lm';
	const error = validateDocument(draft)._unsafeUnwrapErr();
	assert.equal(error.problems.length, 3, error.message);
});

// Guards against accepting a document that overcommits memory or omits a model or adapter.
test('a packing contains every replica and adapter within the memory', () => {
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 5, max: 40}), {minLength: 1, maxLength: 5}),
			fc.array(
				fc.record({
					bytes: fc.integer({min: 1, max: 20}),
					replicas: fc.integer({min: 1, max: 2}),
					adapterBytes: fc.array(fc.integer({min: 1, max: 5}), {maxLength: 3}),
				}),
				{maxLength: 6},
			),
			(sizes, drafts) => {
				const models = drafts.map(({adapterBytes, ...draft}, index) => ({
					...draft,
					id: `m${index}`,
					adapters: adapterBytes.map((bytes, position) => ({
						id: `x${index}-${position}`,
						bytes,
					})),
				}));
				const free = new Map(sizes.map((bytes, index) => [`t${index}`, bytes]));
				const result = packMemory(
					[...free].map(([id, bytes]) => ({id, bytes})),
					models,
				);
				const reserve = (target: string, bytes: number): void => {
					free.set(target, free.get(target)! - bytes);
				};

				for (const model of models) {
					const holders = result.targetsByModel.get(model.id) ?? [];
					for (const holder of holders) {
						reserve(holder, model.bytes);
					}

					if (!result.unplacedModels.includes(model.id)) {
						assert.ok(holders.length >= model.replicas);
					}

					for (const adapter of model.adapters) {
						const holder = result.targetByAdapter.get(adapter.id);
						if (holder !== undefined) {
							assert.ok(holders.includes(holder));
							reserve(holder, adapter.bytes);
						} else if (result.unplacedModels.length === 0) {
							assert.ok(result.unplacedAdapters.includes(adapter.id));
						}
					}
				}

				for (const left of free.values()) {
					assert.ok(left >= 0);
				}
			},
		),
		{seed: 20_261_204, numRuns: 500},
	);
});

/** Tries all assignments of sizes to bins and returns whether one of them fits. */
function canFit(sizes: readonly number[], bins: readonly number[]): boolean {
	const [first, ...rest] = sizes;
	return (
		first === undefined ||
		bins.some(
			(free, index) =>
				free >= first && canFit(rest, bins.with(index, free - first)),
		)
	);
}

// Guards against rejecting a document that fits.
test('the packing matches an exhaustive search of all assignments', () => {
	let fitting = 0;
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 5, max: 20}), {minLength: 2, maxLength: 4}),
			fc.array(fc.integer({min: 1, max: 12}), {minLength: 3, maxLength: 7}),
			(bins, sizes) => {
				const {unplacedModels} = packMemory(
					bins.map((bytes, index) => ({id: `t${index}`, bytes})),
					sizes.map((bytes, index) => ({
						id: `m${index}`,
						bytes,
						replicas: 1,
						adapters: [],
					})),
				);
				const isFitting = canFit(sizes, bins);
				fitting += isFitting ? 1 : 0;
				assert.equal(unplacedModels.length === 0, isFitting);
			},
		),
		{seed: 20_261_204, numRuns: 500},
	);
	assert.ok(
		fitting > 50 && fitting < 450,
		`${fitting} of 500 generated cases fit; expected between 50 and 450.`,
	);
});

// Guards against rejecting a document whose only packing a greedy algorithm does not find.
test('the packing search finds a packing that best-fit decreasing misses', () => {
	const targets = [
		{id: 't0', bytes: 10},
		{id: 't1', bytes: 10},
	];
	const models = [6, 4, 4, 3, 3].map((bytes, index) => ({
		id: `m${index}`,
		bytes,
		replicas: 1,
		adapters: [],
	}));
	assert.deepEqual(packMemory(targets, models).unplacedModels, []);
});

test('the difference of two documents matches entries by name, independent of their order', () => {
	const before = validateDocument(createValidDocument())._unsafeUnwrap();
	const draft = createValidDocument();
	draft.models.reverse();
	draft.models[1]!.bytes = 61;
	draft.adapters.push({id: 'x2', model: 'm2', bytes: 1});
	draft.offerings.pop();
	draft.callers[0]!.offerings = [];
	const after = validateDocument(draft)._unsafeUnwrap();
	assert.equal(
		formatDifferences(compareDocuments(before, after)),
		[
			'~ models "m1" bytes: 60 -> 61',
			'+ adapters "x2": {"bytes":1,"id":"x2","model":"m2","version":"1"}',
			'- offerings "plain"',
			'- callers "school-1" offerings "drafts"',
		].join('\n'),
	);
	assert.deepEqual(compareDocuments(after, after), []);
});
