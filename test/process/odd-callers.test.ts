import {after, before, test} from 'node:test';
import fc from 'fast-check';
import {
	anyEnd,
	anyHeaderValue,
	oddNames,
	oddNumberTexts,
	OddInputDeployment,
	seed,
	sendRaw,
	type RawInput,
} from './odd-input.js';

const deployment = new OddInputDeployment();

before(async () => {
	await deployment.start();
});
after(() => {
	deployment.stop();
});

const anyMethod = fc.constantFrom(
	'GET',
	'POST',
	'HEAD',
	'PUT',
	'DELETE',
	'OPTIONS',
	'TRACE',
	'PATCH',
	'CONNECT',
	'M-SEARCH',
	'PROPFIND',
	'SOURCE',
	'get',
	'',
	'ODD',
	'PRI',
);
const anyTarget = fc.oneof(
	fc.constantFrom(
		'/x/a',
		'/odd/a',
		'/odd-stream/a',
		'/odd-once/a',
		'*',
		'/',
		'',
		'//',
		'http://a.example/x/a',
		'http://[::1/x/',
		'a.example:80',
		'/x/%00%zz',
		'/x/#part',
		'/x/a b',
		'/x/?a=1?b',
		'/x/../../odd/',
		'/x/\u00FF\u0001',
		`/x/${'a'.repeat(20_000)}`,
	),
	anyHeaderValue.map((text) => `/x/${text}`),
);
const anyVersion = fc.constantFrom(
	'HTTP/1.1',
	'HTTP/1.1',
	'HTTP/1.1',
	'HTTP/1.0',
	'HTTP/0.9',
	'HTTP/2.0',
	'HTTP/1.',
	'',
);
const namedHeaders = [
	'Deadline-Ms',
	'Token-Count',
	'Prompt-Prefix',
	'Model',
	'Length-Hint',
	'Last-Event-Id',
	'Resumes',
	'Request-Id',
	'Expect',
	'Upgrade',
	'TE',
	'Connection',
	'Content-Length',
	'Transfer-Encoding',
	'Trailer',
	'Host',
	'Keep-Alive',
	'Expect-Instance',
	'Request-Priority',
	'Proxy-Connection',
	'Cookie',
	'Date',
	'Authorization',
	'Content-Type',
	'If-None-Match',
];
const anyHeader = fc.oneof(
	fc.tuple(fc.constantFrom(...namedHeaders), anyHeaderValue),
	fc.tuple(fc.constantFrom(...oddNames), anyHeaderValue),
	fc.constantFrom<[string, string]>(
		['Connection', 'Upgrade'],
		['Upgrade', 'websocket'],
		['Upgrade', 'h2c'],
		['Expect', '100-continue'],
		['Expect', '200-odd'],
		['Connection', 'close, Host, Request-Id, __proto__'],
		['Model', '/'],
		['Model', '__proto__/constructor'],
		['Prompt-Prefix', ':,::,__proto__:1e400,,constructor'],
		['Prompt-Prefix', 'a:1,'.repeat(3000)],
		['Token-Count', ','.repeat(1000)],
		['Last-Event-Id', '-1'],
	),
	fc.tuple(
		fc.constantFrom('Deadline-Ms', 'Token-Count', 'Length-Hint'),
		fc.constantFrom(...oddNumberTexts),
	),
);
const anyBody = fc.constantFrom(
	'',
	'Content-Length: 4\r\n\r\nbody',
	'Content-Length: 90\r\n\r\nshort',

	'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody',
	'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody',
	'Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-End: 1\r\n\r\n',
	'Transfer-Encoding: chunked\r\n\r\nzz\r\nbody',
	'Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody',
	'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
	'Content-Length: 1e3\r\n\r\nbody',
	'Content-Length: 99999999999999999999\r\n\r\nbody',
	`Content-Length: 5000\r\n\r\n${'b'.repeat(5000)}`,
);

/** A request with the id and host that lead to a route, unless an odd header replaces them. */
const anyRequest = fc
	.record({
		method: anyMethod,
		target: anyTarget,
		version: anyVersion,
		headers: fc.array(anyHeader, {maxLength: 5}),
		hasId: fc.boolean(),
		body: anyBody,
	})
	.map(({method, target, version, headers, hasId, body}) =>
		[
			`${method} ${target} ${version}`,
			'Host: a.example',
			...(hasId ? ['Request-Id: odd'] : []),
			...headers.map(([name, value]) => `${name}: ${value}`),
			body === '' ? '\r\n' : body,
		].join('\r\n'),
	);
const anyInput: fc.Arbitrary<RawInput> = fc.oneof(
	{
		weight: 8,
		arbitrary: fc.record({
			bytes: fc
				.array(anyRequest, {minLength: 1, maxLength: 3})
				.map((requests) => requests.join('')),
			end: anyEnd,
		}),
	},
	{
		weight: 2,
		arbitrary: fc
			.tuple(anyRequest, fc.nat(), anyEnd)
			.map(([request, length, end]) => ({
				bytes: request.slice(0, length % (request.length + 1)),
				end,
			})),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			bytes: fc
				.uint8Array({maxLength: 200})
				.map((bytes) => Buffer.from(bytes).toString('latin1')),
			end: anyEnd,
		}),
	},
);

// Guards against a process that ends, or stops serving, because of one request of a caller.
test(`no bytes of callers end or stop the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(anyInput, {minLength: 20, maxLength: 20}),
			async (inputs) => {
				await Promise.all(
					inputs.map(async (input) =>
						sendRaw(deployment.host.ports.callers!, input),
					),
				);
				await deployment.assertSound();
			},
		),
		{seed, numRuns: 100, endOnFailure: true, includeErrorInReport: true},
	);
});

// Guards against the same on the ports that only the fleet and its operators use.
test(`no bytes on the other ports end or stop the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(
				fc.tuple(
					fc.constantFrom('peers', 'readiness', 'metrics'),
					anyInput,
					fc.constantFrom(
						'/ready',
						'/metrics',
						'/daisylever.owner.v1.OwnerService/Report',
						'/daisylever.forwarding.v1.PeerForwardingService/Forward',
						'/__proto__',
					),
				),
				{minLength: 20, maxLength: 20},
			),
			async (inputs) => {
				await Promise.all(
					inputs.map(async ([port, input, path]) =>
						sendRaw(deployment.host.ports[port]!, {
							...input,
							bytes: input.bytes.replace('/x/a', path),
						}),
					),
				);
				await deployment.assertSound();
			},
		),
		{seed, numRuns: 50, endOnFailure: true, includeErrorInReport: true},
	);
});
