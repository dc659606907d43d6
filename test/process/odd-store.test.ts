import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {after, before, test} from 'node:test';
import fc from 'fast-check';
import {request} from 'undici';
import {
	oddNames,
	oddNumberTexts,
	OddInputDeployment,
	seed,
} from './odd-input.js';
import {waitUntil} from './processes.js';

const deployment = new OddInputDeployment();
/** Answers of the next calls, instead of those of the store. */
const oddAnswers: Buffer[] = [];
let proxy: Server;

before(async () => {
	proxy = createServer((incoming, outgoing) => {
		const odd = oddAnswers.shift();
		if (odd) {
			incoming.socket.end(odd);
			return;
		}

		const pass = async () => {
			const answer = await request(
				`http://${deployment.address}${incoming.url}`,
				{
					method: incoming.method as 'GET',
					body: incoming.method === 'POST' ? incoming : null,
				},
			);
			outgoing.writeHead(answer.statusCode);
			outgoing.end(Buffer.from(await answer.body.arrayBuffer()));
		};

		pass().catch(() => {
			outgoing.destroy();
		});
	});
	await new Promise<void>((resolve) => {
		proxy.listen(0, '127.0.0.1', resolve);
	});
	await deployment.start({
		storeAddress: `127.0.0.1:${(proxy.address() as AddressInfo).port}`,
	});
});
after(() => {
	deployment.stop();
	proxy.closeAllConnections();
	proxy.close();
});

const anyNumber = fc.constantFrom(
	...oddNumberTexts.filter((text) => text !== ''),
	'null',
	'"1"',
	'[]',
	'{}',
);
const anyJson = fc.oneof(
	fc.constantFrom('', 'null', '[]', '{', '4', '{"__proto__":1}'),
	fc
		.record({end: anyNumber, offset: anyNumber, first: anyNumber})
		.map(
			({end, offset, first}) =>
				`{"end":${end},"offset":${offset},"first":${first},"more":false,"items":[]}`,
		),
	fc
		.record({key: fc.constantFrom(...oddNames, 'config'), offset: anyNumber})
		.map(
			({key, offset}) =>
				`{"items":[{"key":${JSON.stringify(key)},"value":"e30=","offset":${offset}}],"more":false,"end":${offset}}`,
		),
);
const anyBytes = fc
	.uint8Array({maxLength: 60})
	.map((bytes) => Buffer.from(bytes).toString('latin1'));
/** Records after the two positions at the start of the response to a read. */
const anyRecords = fc
	.tuple(
		fc.constantFrom('\u0000'.repeat(16), '\u00FF'.repeat(16)),
		fc.constantFrom(
			'',
			'\u00FF\u00FF\u00FF\u00FF',
			'\u0000\u0000\u0000\u0000',

			'\u0000\u0000\u0000\u0001\u00FF',
			'\u0000\u0000\u0000\u0009\u0003abc',
		),
	)
	.map((parts) => parts.join(''));
const anyAnswer = fc
	.record({
		status: fc.constantFrom(
			'200 OK',
			'200 OK',
			'200 OK',
			'404 Odd',
			'410 Odd',
			'412 Odd',
			'101 Odd',
			'103 Odd',
			'099 Odd',
			'204 Odd',
			'304 Odd',
			'500 Odd',
			'999 Odd',
		),
		header: fc.constantFrom(
			'',
			'Content-Encoding: gzip\r\n',
			'Store-Era: 1e400\r\n',
			'Store-Era: -1\r\n',
			'Store-Era: __proto__\r\n',
			'constructor: 1\r\n__proto__: 2\r\n',
			'Content-Length: 3\r\n',
			'Connection: upgrade\r\nUpgrade: a\r\n',
			'Transfer-Encoding: chunked\r\n',
		),
		body: fc.oneof(anyJson, anyBytes, anyRecords),
	})
	.map(({status, header, body}) =>
		Buffer.from(`HTTP/1.1 ${status}\r\n${header}\r\n${body}`, 'latin1'),
	);

// Guards against a process that ends, or cannot follow the store any more, because of one of its answers.
test(`no answers of the store end or stop the process (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(anyAnswer, {minLength: 4, maxLength: 4}),
			async (answers) => {
				oddAnswers.push(...answers);
				deployment.putConfiguration();
				await deployment.assertSound();
				await waitUntil(
					'the odd answers are read',
					() => oddAnswers.length === 0,
				);
				// A well-formed answer with records that the store does not have hides as many later ones.
				const versions: number[] = [];
				await waitUntil('a later configuration is used', async () => {
					versions.push(deployment.putConfiguration());
					await deployment.assertSound();
					return versions.some((version) => deployment.uses(version));
				});
				await deployment.assertSound();
			},
		),
		{seed, numRuns: 30, endOnFailure: true, includeErrorInReport: true},
	);
});
