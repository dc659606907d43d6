import assert from 'node:assert/strict';
import {readdirSync} from 'node:fs';
import process from 'node:process';
import {test} from 'node:test';
import {PeerForwardingService} from '../../src/generated/daisylever/forwarding/v1/forwarding_pb.js';
import {ClientCrowd, type ClientKind} from './client-crowd.js';
import {OddInputDeployment, usual} from './odd-input.js';
import {peakMegabytes, waitUntil} from './processes.js';

/** Memory of the machine that the settings name. The variables are for runs by hand with other machines and larger crowds. */
const memoryMegabytes = Number(process.env.DAISYLEVER_CROWD_MEMORY ?? 350);
const memoryShare = 0.8;
/** Clients that are connected at once. CI uses a smaller crowd than the 500 of the requirement. */
const crowd = Number(process.env.DAISYLEVER_CROWD ?? 120);
/** Descriptors that the process may have, less than the crowd when it is larger. */
const maximumDescriptors = 130;
const crowdMilliseconds = 6000;
const bodyBytes = 4_000_000;

const head = (path: string, ...lines: readonly string[]) =>
	[
		`POST ${path} HTTP/1.1`,
		'Host: a.example',
		'Request-Id: crowd',
		...lines,
		'\r\n',
	].join('\r\n');
const chunkedHead = head('/x/a', 'Transfer-Encoding: chunked');
const body = Buffer.alloc(bodyBytes - 10, 'x');
const smallChunks = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const peerHead = head(
	`/${PeerForwardingService.typeName}/Forward`,
	'Content-Type: application/connect+proto',
	'Connect-Protocol-Version: 1',
	'Transfer-Encoding: chunked',
);

const kinds = {
	'large chunks': {
		port: 'callers',
		first: `${chunkedHead}${bodyBytes.toString(16)}\r\n`,
		rest: body,
		repetitions: 1,
	},
	'one-byte chunks': {
		port: 'callers',
		first: chunkedHead,
		rest: smallChunks,
		repetitions: 100,
	},
	'chunk extensions': {
		port: 'callers',
		first: chunkedHead,
		rest: Buffer.from(`1;${'e'.repeat(1000)}\r\nx\r\n`.repeat(50)),
	},
	'incomplete heads': {
		port: 'callers',
		first: 'GET /x/a HTTP/1.1\r\nHost: a.example\r\n',
		rest: Buffer.from(`X-More: ${'h'.repeat(1000)}\r\n`.repeat(120)),
		repetitions: 1,
	},
	'bodies that stop before their ends': {
		port: 'callers',
		first: head('/x/a', `Content-Length: ${bodyBytes}`),
		rest: body,
		repetitions: 1,
	},
	'bodies that go on slowly for ever': {
		port: 'callers',
		first: chunkedHead,
		rest: Buffer.from('1\r\nx\r\n'),
		pauseMilliseconds: 200,
	},
	'connections on which nothing is sent': {port: 'callers', first: ''},
	'answers that are not read': {
		port: 'callers',
		first: head('/odd-once/a', 'Content-Length: 0'),
		isDeaf: true,
	},
	'answers that are not read on persistent connections': {
		port: 'callers',
		first: '',
		rest: Buffer.from(head('/odd-once/a', 'Content-Length: 0').repeat(20)),
		isDeaf: true,
	},
	'complete requests in one-byte chunks on persistent connections': {
		port: 'callers',
		first: '',
		rest: Buffer.from(
			`${chunkedHead}${'1\r\nx\r\n'.repeat(2000)}0\r\n\r\n`.repeat(5),
		),
	},
	'large bodies to the port between hosts': {
		port: 'peers',
		first: `${peerHead}${bodyBytes.toString(16)}\r\n\0\0\u003C\0\0`,
		rest: body,
		repetitions: 1,
	},
	'one-byte chunks to the port between hosts': {
		port: 'peers',
		first: `${peerHead}5\r\n\0\0\u003C\0\0\r\n`,
		rest: smallChunks,
		repetitions: 100,
	},
	'slow bodies to the port between hosts': {
		port: 'peers',
		first: `${peerHead}5\r\n\0\0\u003C\0\0\r\n`,
		rest: Buffer.from('1\r\nx\r\n'),
		pauseMilliseconds: 200,
	},
} satisfies Record<string, ClientKind>;

async function withCrowd(members: readonly ClientKind[]): Promise<void> {
	const deployment = new OddInputDeployment();
	let clients: ClientCrowd | undefined;
	try {
		await deployment.start({
			settings: {machine: {memoryMegabytes}},
			maximumDescriptors: Math.max(maximumDescriptors, crowd * 0.7),
		});
		await deployment.waitForConfiguration(
			deployment.putConfiguration({
				limits: {...usual.limits, max_body_bytes: bodyBytes},
			}),
		);
		deployment.oddWorker.behaviour = ({headers, socket}) => {
			socket.write(
				`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Sig: signed\r\nContent-Length: ${body.length}\r\n\r\n`,
			);
			socket.end(body);
		};

		clients = new ClientCrowd(deployment.host.ports, members, crowd);
		const {process: host} = deployment.host;
		let descriptors = 0;
		const until = performance.now() + crowdMilliseconds;
		while (performance.now() < until && host.exitCode === undefined) {
			descriptors = Math.max(
				descriptors,
				readdirSync(`/proc/${host.child.pid}/fd`).length,
			);
			await new Promise((resolve) => {
				setTimeout(resolve, 50);
			});
		}

		assert.equal(host.exitCode, undefined, 'the process has ended');
		const peak = peakMegabytes(host);
		console.log(
			`memory ${Math.round(peak)} MB of ${memoryMegabytes}, ${descriptors} descriptors, crowd of ${crowd}`,
		);
		const isServed = async () =>
			(await deployment.plainStatus().catch(() => 0)) === 200;
		await waitUntil('a request is answered beside the crowd', isServed);
		clients.end();
		await waitUntil('a request is answered afterwards', isServed);
		assert.equal(host.exitCode, undefined, 'the process has ended');
		assert.equal(deployment.standardError, '');
		const limit = memoryMegabytes * memoryShare;
		assert.ok(peakMegabytes(host) < limit, `${peakMegabytes(host)} MB`);
		assert.ok(descriptors < Math.max(maximumDescriptors, crowd * 0.7));
	} finally {
		clients?.end();
		deployment.stop();
	}
}

// Guards against a host that runs out of memory or descriptors, ends or hangs because of clients that do not behave.
for (const [name, kind] of Object.entries(kinds)) {
	test(`a host withstands a crowd of clients: ${name}`, async () => {
		await withCrowd([kind]);
	});
}

for (const [first, second] of [
	['one-byte chunks', 'answers that are not read'],
	['large chunks', 'incomplete heads'],
] as const) {
	test(`a host withstands a crowd of two kinds of clients: ${first}, ${second}`, async () => {
		await withCrowd([kinds[first], kinds[second]]);
	});
}
