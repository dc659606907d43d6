import {after, before, test} from 'node:test';
import fc from 'fast-check';
import {
	oddNames,
	oddNumbers,
	OddInputDeployment,
	seed,
	sendRaw,
	usual,
} from './odd-input.js';

const deployment = new OddInputDeployment();

before(async () => {
	await deployment.start();
});
after(() => {
	deployment.stop();
});

const anyName = fc.constantFrom(...oddNames, 's', 'odd');
const anyNumber = fc.constantFrom(...oddNumbers);
const anyValue = fc.oneof(
	anyNumber,
	anyName,
	fc.constantFrom(null, true, [], {}, [[]]),
);
/** Mostly a number, which passes the check of the type. */
const anyOddNumber = fc.oneof(
	{weight: 9, arbitrary: anyNumber},
	{weight: 1, arbitrary: anyValue},
);
const anyRoute = fc.record(
	{
		name: anyName,
		host: fc.oneof(anyName, fc.constant('a.example')),
		prefix: fc.oneof(anyName, fc.constant('/c/')),
		kind: fc.constantFrom('idempotent', 'non_idempotent', 'stream'),
		timeout_ms: anyNumber,
		goal_ms: anyNumber,
		priority: anyOddNumber,
		attempts: anyOddNumber,
		allow_resume: fc.boolean(),
		service: anyName,
		split: fc.array(fc.record({service: anyName, weight: anyNumber}), {
			maxLength: 3,
		}),
	},
	{requiredKeys: ['name', 'host', 'prefix', 'kind', 'timeout_ms']},
);
const anyEngine = fc.record({
	weights_mb: anyOddNumber,
	lora_slots: anyNumber,
	loads_per_s: anyNumber,
	models: fc.array(
		fc.record({
			name: anyName,
			weights_mb: anyNumber,
			load_s: anyNumber,
			adapters: anyNumber,
			adapter_mb: anyNumber,
		}),
		{maxLength: 4},
	),
});
const anyService = fc.record(
	{name: anyName, max_conns: anyOddNumber, engine: anyEngine},
	{requiredKeys: ['name']},
);
const anyConfiguration = fc.record({
	routes: fc
		.array(anyRoute, {maxLength: 4})
		.map((routes) => [...usual.routes, ...routes]),
	services: fc
		.array(anyService, {maxLength: 4})
		.map((services) => [...usual.services, ...services]),
});

// Guards against a process that ends, or stops serving, because of one configuration.
test(`no configuration ends or stops the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(anyConfiguration, async (configuration) => {
			deployment.putConfiguration(configuration);
			await Promise.all(
				configuration.routes.slice(usual.routes.length).map(async (route) =>
					sendRaw(deployment.host.ports.callers!, {
						bytes: `GET ${String(route.prefix)}a HTTP/1.1\r\nHost: ${String(route.host)}\r\nRequest-Id: odd\r\nModel: __proto__/constructor\r\n\r\n`,
						end: 'wait',
					}),
				),
			);
			await deployment.assertSound();
			await deployment.waitForConfiguration(deployment.putConfiguration());
			await deployment.assertSound();
		}),
		{seed, numRuns: 150, endOnFailure: true, includeErrorInReport: true},
	);
});

// Guards against a connection limit of one service that makes the requests of all services fail.
test('each odd limit on connections, bodies and times leaves the process alive and later configurations in use', async () => {
	for (const value of oddNumbers) {
		for (const field of [
			'header_bytes',
			'max_body_bytes',
			'header_ms',
			'idle_ms',
		]) {
			deployment.putConfiguration({
				limits: {...usual.limits, [field]: value},
			});
			await deployment.waitForConfiguration(deployment.putConfiguration());
			await deployment.assertSound();
		}

		deployment.putConfiguration({
			services: [
				{name: 's', max_conns: 100},
				{name: 'odd', max_conns: value},
			],
		});
		await sendRaw(deployment.host.ports.callers!, {
			bytes:
				'GET /odd/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: odd\r\n\r\n',
			end: 'wait',
		});
		await deployment.waitForConfiguration(deployment.putConfiguration());
		await deployment.assertSound();
	}
});

// Guards against a large configuration that stops the process.
test('thousands of routes leave the process serving', async () => {
	const routes = Array.from({length: 5000}, (_, index) => ({
		...usual.routes[1],
		name: `r-${index}`,
		prefix: `/many/${index}/`,
	}));
	await deployment.waitForConfiguration(
		deployment.putConfiguration({routes: [...usual.routes, ...routes]}),
	);
	await deployment.assertSound();
});
