import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import fc from 'fast-check';
import {PeerForwardingService} from '../../src/generated/daisylever/forwarding/v1/forwarding_pb.js';
import {OwnerService} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {oddNames, OddInputDeployment, seed} from './odd-input.js';
import {waitUntil} from './processes.js';

const deployment = new OddInputDeployment();
let owner: Client<typeof OwnerService>;
let peer: Client<typeof PeerForwardingService>;

before(async () => {
	await deployment.start();
	const transport = createConnectTransport({
		baseUrl: `http://127.0.0.1:${deployment.host.ports.peers}`,
		httpVersion: '1.1',
	});
	owner = createClient(OwnerService, transport);
	peer = createClient(PeerForwardingService, transport);
	await waitUntil('the host is the owner', () =>
		deployment.host.process.lines.some((line) =>
			line.includes('"ownership-gained"'),
		),
	);
});
after(() => {
	deployment.stop();
});

const anyName = fc.oneof(
	fc.constantFrom(...oddNames, 's', 'odd', 'i-odd', 'h1', 'h2', 'a\r\nb: c'),
	fc.string({maxLength: 20}),
);
const anyNames = fc.array(anyName, {maxLength: 3});
const anyCount = fc.constantFrom(0, 1, 2 ** 31 - 1, 2 ** 31, 2 ** 32 - 1);
const anyDouble = fc.constantFrom(
	0,
	-0,
	-1,
	0.5,
	1e308,
	Number.MIN_VALUE,
	Number.NaN,
	Number.POSITIVE_INFINITY,
	Number.NEGATIVE_INFINITY,
);
const anyLong = fc.constantFrom(
	0n,
	1n,
	2n ** 53n + 1n,
	2n ** 63n,
	2n ** 64n - 1n,
);
const anyAddress = fc.constantFrom(
	'',
	'127.0.0.1:1',
	'127.0.0.1:99999',
	'odd host:1',
	'[::1]:1',
	':0',
	'http://127.0.0.1:1/',
	'127.0.0.1',
	'__proto__',
);
const anyVersion = fc.constantFrom(
	'1e400',
	'-1',
	'0.5',
	'"a"',
	'null',
	'{}',
	'9007199254740993',
	'1e300',
);
const anyDocument = fc.oneof(
	fc.constantFrom(
		'',
		'{',
		'null',
		'[]',
		'4',
		'"a"',
		'{}',
		'{"__proto__":{"version":9}}',
	),
	fc
		.record({
			version: anyVersion,
			routes: fc.constantFrom('null', '[]', '[null]', '[{}]', '{"length":1}'),
			pools: fc.constantFrom('null', '[]', '[null]', '[{"name":"__proto__"}]'),
			limits: fc.constantFrom('null', '{}', '{"headerBytes":-1}', '4'),
		})
		.map(
			({version, routes, pools, limits}) =>
				`{"version":${version},"routes":${routes},"pools":${pools},"limits":${limits}}`,
		),
);
const anyReport = fc.record(
	{
		host: anyName,
		members: anyNames,
		models: fc.array(
			fc.record({
				model: anyName,
				requests: anyCount,
				idleMilliseconds: anyCount,
			}),
			{maxLength: 3},
		),
		adapters: fc.array(
			fc.record({
				model: anyName,
				adapter: anyName,
				requests: anyCount,
				waiting: anyCount,
				softwareVersion: anyName,
			}),
			{maxLength: 3},
		),
		knownRevision: anyLong,
		knownSource: anyName,
		observedMilliseconds: anyCount,
		failureDomain: anyName,
		peerAddress: anyAddress,
		capacity: anyDouble,
		failedRelay: anyAddress,
		suspicions: fc.array(
			fc.record({
				fingerprint: anyName,
				deaths: fc.array(fc.record({key: anyName, ageMilliseconds: anyCount}), {
					maxLength: 3,
				}),
				answeredMillisecondsAgo: anyCount,
				trials: anyCount,
				triedMillisecondsAgo: anyCount,
			}),
			{maxLength: 3},
		),
		rates: fc.array(
			fc.record({
				target: anyName,
				requestsPerSecond: anyDouble,
				ageMilliseconds: anyCount,
			}),
			{maxLength: 3},
		),
		knownObservationSource: anyName,
		knownSuspicionRevision: anyLong,
		knownRateRevision: anyLong,
		observationsOnly: fc.boolean(),
		documentVersion: anyLong,
		needsDocument: fc.boolean(),
		document: anyDocument,
		streams: fc.array(fc.record({version: anyName, streams: anyNames}), {
			maxLength: 3,
		}),
		knownStreamRevision: anyLong,
		versions: fc.array(
			fc.record({pool: anyName, version: anyName, ageMilliseconds: anyCount}),
			{maxLength: 3},
		),
		leaving: fc.array(fc.record({target: anyName, incarnation: anyName}), {
			maxLength: 3,
		}),
		brittle: fc.array(
			fc.record({
				target: anyName,
				refusalsPerSecond: anyDouble,
				ageMilliseconds: anyCount,
			}),
			{maxLength: 3},
		),
		knownBrittleRevision: anyLong,
		wantsVersionReport: fc.boolean(),
	},
	{requiredKeys: []},
);
const anyForward = fc.record({
	host: anyName,
	method: fc.constantFrom('GET', 'POST', 'CONNECT', '', 'a b', '__proto__'),
	requestTarget: fc.oneof(
		fc.constantFrom('/odd/a', '/odd-stream/a', '', 'a', '/odd/\r\nb', '*'),
		anyName.map((name) => `/odd/${name}`),
	),
	rawHeaders: fc
		.array(fc.oneof(anyName, fc.constantFrom('Upgrade', 'Expect', 'Host')), {
			maxLength: 5,
		})
		.map((headers) => ['Host', 'a.example', 'Request-Id', 'odd', ...headers]),
	body: fc.uint8Array({maxLength: 20}),
	pool: anyName,
	remainingMilliseconds: anyCount,
	ageMilliseconds: anyCount,
	maximumExecutions: anyCount,
	lastEventId: anyLong,
	softwareVersion: anyName,
});

/** Time after which an odd call is cut. */
const callMilliseconds = 150;

async function settle(call: Promise<unknown>): Promise<void> {
	await call.catch(() => undefined);
}

async function forward(message: Parameters<typeof peer.forward>[0]) {
	for await (const response of peer.forward(message, {
		signal: AbortSignal.timeout(callMilliseconds),
	})) {
		assert.ok(response);
	}
}

// Guards against a process that ends, stops serving, or stops taking configurations, because of one call of another host.
test(`no calls of other hosts end or stop the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(anyReport, {minLength: 4, maxLength: 4}),
			fc.array(anyForward, {minLength: 4, maxLength: 4}),
			fc.array(fc.record({target: anyName, count: anyCount}), {maxLength: 4}),
			anyName,
			async (reports, forwards, demands, stream) => {
				const options = {signal: AbortSignal.timeout(callMilliseconds)};
				await Promise.all([
					...reports.map(async (report) =>
						settle(owner.report(report, options)),
					),
					...forwards.map(async (message) => settle(forward(message))),
					settle(owner.acquirePermits({demands}, options)),
					settle(owner.findStream({stream}, options)),
				]);
				await deployment.assertSound();
				// A sound report is answered, whatever was reported before.
				await owner.report(
					{host: 'h3', members: ['h3'], observationsOnly: false},
					{timeoutMs: 5000},
				);
				await deployment.waitForConfiguration(deployment.putConfiguration());
			},
		),
		{seed, numRuns: 100, endOnFailure: true, includeErrorInReport: true},
	);
});
