import {after, before, test} from 'node:test';
import fc from 'fast-check';
import {type WorkerBehaviour} from '../platform/stand-in-worker.js';
import {
	anyEnd,
	anyHeaderValue,
	oddNames,
	oddNumberTexts,
	OddInputDeployment,
	seed,
	sendRaw,
	type RawInput,
	endSocket,
} from './odd-input.js';

const deployment = new OddInputDeployment();

before(async () => {
	await deployment.start();
});
after(() => {
	deployment.stop();
});

/** Text in an odd answer that stands for the id of the request. */
const idPlaceholder = '{id}';

const anyStatus = fc.oneof(
	{
		weight: 3,
		arbitrary: fc.constantFrom('200 OK', '200 ', '200', '206 Part', '299 Odd'),
	},
	{
		weight: 4,
		arbitrary: fc.constantFrom(
			'100 Continue',
			'101 Switching Protocols',
			'102 Processing',
			'103 Early Hints',
			'199 Odd',
			'204 No Content',
			'304 Unchanged',
			'000 Odd',
			'099 Odd',
			'400 Odd',
			'409 Odd',
			'421 Odd',
			'429 Odd',
			'499 Odd',
			'500 Odd',
			'503 Odd',
			'599 Odd',
			'600 Odd',
			'999 Odd',
			'1000 Odd',
			'20',
			'2e2 Odd',
			'-1 Odd',
			'',
		),
	},
	{
		weight: 1,
		arbitrary: anyHeaderValue.map((reason) => `200 ${reason}`),
	},
);
const namedHeaders = [
	'Content-Length',
	'Transfer-Encoding',
	'Connection',
	'Keep-Alive',
	'Content-Type',
	'Content-Encoding',
	'Upgrade',
	'Trailer',
	'Date',
	'Set-Cookie',
	'Location',
	'Server-Load',
	'Response-Sig',
	'Request-Id',
	'Weight-Versions',
	'Content-Disposition',
	'Expect',
	'Via',
];
const anyHeader = fc.oneof(
	fc.tuple(fc.constantFrom(...namedHeaders), anyHeaderValue),
	fc.tuple(fc.constantFrom(...oddNames.slice(0, -1)), anyHeaderValue),
	fc.tuple(
		fc.constantFrom('Content-Length', 'Server-Load', 'Keep-Alive'),
		fc.constantFrom(...oddNumberTexts),
	),
	fc.constantFrom<[string, string]>(
		['Connection', 'upgrade\r\nUpgrade: websocket'],
		['Connection', 'close'],
		['Keep-Alive', 'timeout=0'],
		['Keep-Alive', 'timeout=99999999999999'],
		['Keep-Alive', 'timeout=-1, max=1e400'],
		['Transfer-Encoding', 'chunked'],
		['Transfer-Encoding', 'gzip, chunked'],
		['Transfer-Encoding', 'identity'],
		['Content-Encoding', 'gzip'],
		['Content-Type', 'text/event-stream'],
		['Server-Load', '1e400,2,3'],
		['Server-Load', '999999999999999,999999999999999,1,0'],
		['Server-Load', '0,0,0'],
		['Not-Run', '1'],
		['Set-Cookie', 'a\r\nSet-Cookie: b'],
		['X-Long', 'x'.repeat(100_000)],
		['X-Many', 'x\r\nX-Many: x'.repeat(500)],
		['X-Folded', 'x\r\n folded'],
		['X-Bare', 'x\ny: z'],
	),
);
const anyBody = fc.oneof(
	fc.constantFrom(
		'',
		'whole',
		'id: 1\ndata: a\n\n',
		'id: 1\ndata: a\n\nid: 2\nda',
		'id: -1\n\n',
		'id: 1e400\ndata: a\n\n',
		'id: __proto__\ndata:\n\n',
		'id: 9007199254740993\n\n',
		'\u0000'.repeat(300),
		'\n'.repeat(3000),
		'5\r\nwhole\r\n0\r\n\r\n',
		'5;a=b;c\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n',
		'ffffffffffffffff\r\nwhole',
		'zz\r\n',
		'-5\r\nwhole\r\n',
		'0\r\n\r\n',
		'f\r\nid: 1\ndata: a\n\n\r\n0\r\n__proto__: 1\r\n\r\n',
		'wholeHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
		'x'.repeat(300_000),
	),
	fc
		.uint8Array({maxLength: 300})
		.map((bytes) => Buffer.from(bytes).toString('latin1')),
);
const anyAnswer = fc
	.record({
		version: fc.constantFrom(
			'HTTP/1.1',
			'HTTP/1.1',
			'HTTP/1.1',
			'HTTP/1.0',
			'HTTP/2.0',
			'ICY',
		),
		status: anyStatus,
		id: fc.constantFrom(idPlaceholder, idPlaceholder, 'other', undefined),
		isSigned: fc.boolean(),
		headers: fc.array(anyHeader, {maxLength: 4}),
		framing: fc.constantFrom(
			'',
			'Content-Length: 5\r\n',
			'Transfer-Encoding: chunked\r\n',
		),
		body: anyBody,
	})
	.map(
		({version, status, id, isSigned, headers, framing, body}) =>
			`${version} ${status}\r\n` +
			(id === undefined ? '' : `Request-Id: ${id}\r\n`) +
			(isSigned ? 'Response-Sig: signed\r\n' : '') +
			headers.map(([name, value]) => `${name}: ${value}\r\n`).join('') +
			`${framing}\r\n${body}`,
	);
const anyInput: fc.Arbitrary<RawInput> = fc.record({
	bytes: fc.oneof(
		{weight: 6, arbitrary: anyAnswer},
		{
			weight: 2,
			arbitrary: fc
				.tuple(anyAnswer, fc.nat())
				.map(([answer, length]) => answer.slice(0, length % answer.length)),
		},
		{
			weight: 2,
			arbitrary: fc
				.array(anyAnswer, {minLength: 2, maxLength: 3})
				.map((answers) => answers.join('')),
		},
	),
	end: anyEnd,
});

/** Answers each request with the odd bytes of its id, and ends the connection as it says. */
function answerWith(inputs: ReadonlyMap<string, RawInput>): WorkerBehaviour {
	return ({headers, socket}) => {
		const id = headers.get('request-id') ?? '';
		const input = inputs.get(id);
		if (!input) {
			socket.destroy();
			return;
		}

		const bytes = input.bytes.replaceAll(idPlaceholder, id);
		socket.write(Buffer.from(bytes, 'latin1'), () => {
			endSocket(socket, input.end);
		});
	};
}

let lastRequest = 0;

async function feed(inputs: readonly RawInput[]): Promise<void> {
	const byId = new Map(
		inputs.map((input) => {
			lastRequest++;
			return [`odd-${lastRequest}`, input] as const;
		}),
	);
	deployment.oddWorker.behaviour = answerWith(byId);
	const kinds = ['odd', 'odd-stream', 'odd-once'];
	await Promise.all(
		[...byId.keys()].map(async (id, index) =>
			sendRaw(deployment.host.ports.callers!, {
				bytes: `GET /${kinds[index % kinds.length]}/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\n\r\n`,
				end: 'wait',
			}),
		),
	);
	await deployment.assertSound();
}

// Guards against a process that ends, or stops serving, because of one answer of a target.
test(`no answers of a target end or stop the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(anyInput, {minLength: 12, maxLength: 12}),
			async (inputs) => feed(inputs),
		),
		{seed, numRuns: 150, endOnFailure: true, includeErrorInReport: true},
	);
});

// Guards against the same by answers after which the target gets no more work for a time.
test(`no words of a target about its availability end or stop the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.constantFrom(
				'Server-Limit',
				'Server-Brittle',
				'Server-Leaving',
				'Retry-After',
				'Instance-Id',
				'Not-Run',
			),
			fc.oneof(fc.constantFrom(...oddNumberTexts), anyHeaderValue),
			async (name, value) =>
				feed([
					{
						bytes: `HTTP/1.1 503 Odd\r\nRequest-Id: ${idPlaceholder}\r\n${name}: ${value}\r\nContent-Length: 0\r\n\r\n`,
						end: 'wait',
					},
				]),
		),
		{seed, numRuns: 60, endOnFailure: true, includeErrorInReport: true},
	);
});
