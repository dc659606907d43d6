import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sha256} from '../../src/base/common/digest.js';
import {loadDocument} from '../../src/program/document-loader.js';
import {loadSettings} from '../../src/program/settings-loader.js';

// Figures of the example deployments from docs/design.md, section 1.2.
const deployments = [
	{
		name: 'agenzia',
		engines: ['sarto-lm', 6],
		services: ['ordini', 3],
		failureDomains: ['catania', 'messina', 'palermo'],
		models: 13,
		adapters: 55,
		weightStore: {
			loadsPerSecond: 1.5,
			concurrentLoads: 5,
			concurrentAdapterLoads: 40,
		},
		notIdempotent: ['/confirmations', '/fabric-charges'],
	},
	{
		name: 'cooperativa',
		engines: ['talk-models', 6],
		services: ['shed-app', 4],
		failureDomains: ['serra-leste', 'serra-oeste', 'vale-alto', 'vale-baixo'],
		models: 17,
		adapters: 60,
		weightStore: {
			loadsPerSecond: 2,
			concurrentLoads: 2,
			concurrentAdapterLoads: 16,
		},
		notIdempotent: ['/crates', '/trucks'],
	},
] as const;

for (const expected of deployments) {
	// The examples must stay in step with the validation and with the design page.
	test(`the example ${expected.name} is valid and matches the figures of the design page`, () => {
		const directory = `examples/${expected.name}`;
		const loaded = loadDocument(`${directory}/document.yaml`);
		assert.equal(loaded.isErr() ? loaded.error.message : '', '');
		const document = loaded._unsafeUnwrap();
		assert.deepEqual(
			document.pools.map(({name, targets}) => [name, targets.length]),
			[expected.engines, expected.services],
		);
		const failureDomains = new Set<string>(
			document.pools.flatMap(({targets}) =>
				targets.map(({failureDomain}) => failureDomain),
			),
		);
		assert.deepEqual([...failureDomains].sort(), expected.failureDomains);
		assert.equal(document.models.length, expected.models);
		assert.equal(document.adapters.length, expected.adapters);
		assert.deepEqual(document.weightStore, expected.weightStore);
		assert.deepEqual(
			document.services.flatMap(({routes}) =>
				routes
					.filter(({idempotent}) => !idempotent)
					.map(({pathPrefix}) => pathPrefix),
			),
			expected.notIdempotent,
		);
		const urgencies = document.callerClasses.map(({urgency}) => urgency);
		assert.deepEqual(urgencies, ['urgent', 'standard', 'deferred']);
		const offeredArtifacts = new Set<string>(
			document.offerings.map(({model, adapter}) => adapter ?? model),
		);
		for (const {id} of [...document.models, ...document.adapters]) {
			assert.ok(offeredArtifacts.has(id), `${id} has no offering`);
		}

		for (const {id, keyDigests} of document.callers) {
			assert.deepEqual(keyDigests, [sha256(`example-key-${id}`)]);
		}

		const settings = loadSettings(`${directory}/settings.yaml`, {
			DAISYLEVER_PEER_SECRET: 'a-secret-for-the-test',
		});
		assert.equal(settings.isErr() ? settings.error.message : '', '');
		const {failureDomain, operators} = settings._unsafeUnwrap();
		assert.ok(failureDomains.has(failureDomain));
		for (const {name, tokenDigest} of operators) {
			assert.equal(tokenDigest, sha256(`example-token-${name}`));
		}
	});
}
