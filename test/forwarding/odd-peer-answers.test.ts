import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {decodeForwardingDocument} from '../../src/contracts/forwarding-document.js';
import {
	type ForwardResponseSchema,
	type HeadSchema,
	PeerForwardingService,
} from '../../src/generated/daisylever/forwarding/v1/forwarding_pb.js';
import {ReportRequestSchema} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {
	fromPeerAddresses,
	toRelayCandidate,
} from '../../src/services/forwarding/reports/report-messages.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

let host: ForwardingHarness;
let servers: Server[];

beforeEach(async () => {
	host = new ForwardingHarness();
	servers = [];
	await host.start(forwardingDocument);
	host.reachability.setCutOff(true);
});
afterEach(async () => {
	await host.stop();
	for (const server of servers) {
		server.closeAllConnections();
		server.close();
	}
});

/** Starts another host that answers each forwarded request with a head. */
async function addPeer(
	head: MessageInitShape<typeof HeadSchema>,
): Promise<void> {
	const server = createServer(
		connectNodeAdapter({
			routes(router) {
				router.service(PeerForwardingService, {
					async *forward(): AsyncGenerator<
						MessageInitShape<typeof ForwardResponseSchema>
					> {
						yield {message: {case: 'head', value: head}};
						yield {message: {case: 'data', value: {bytes: Buffer.from('odd')}}};
						yield {message: {case: 'end', value: {}}};
					},
				});
			},
		}),
	);
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	host.knownPeers = [`127.0.0.1:${port}`];
}

const oddHeads: ReadonlyArray<MessageInitShape<typeof HeadSchema>> = [
	{status: 0, isFramed: true},
	{status: 101, isFramed: true},
	{status: 1000, isFramed: false},
	{status: 4_294_967_295, isFramed: true},
	{status: 200, isFramed: true, headers: ['name without a value']},
	{status: 200, isFramed: true, headers: ['a', 'b\r\nc: d']},
	{status: 200, isFramed: false, headers: ['a b', 'c']},
	{status: 200, isFramed: true, headers: ['', '']},
	{status: 200, isFramed: true, headers: ['a', '\u{1F600}']},
];

/** Time to the answer. Without one the caller waits until the deadline of its route. */
const maximumMilliseconds = 1000;

// Guards against callers that wait for nothing, because Node.js throws for the head that another host sent.
test('a malformed head of another host costs its request an answer in time', async () => {
	for (const head of oddHeads) {
		for (const path of ['/once/a', '/stream/a']) {
			await addPeer({...head, isStream: path === '/stream/a'});
			const startedAt = performance.now();
			const result = await host.call(path, {id: 'r-1'});
			assert.equal(result.status, 502, JSON.stringify(head));
			assert.ok(performance.now() - startedAt < maximumMilliseconds);
		}
	}
});

const oddAddresses = [
	'',
	'127.0.0.1',
	':80',
	'odd host:80',
	'http://127.0.0.1:80',
	'[::1:80',
	'127.0.0.1:0',
	'127.0.0.1:99999',
	'127.0.0.1:80/path',
	'a@b:80',
	'999:',
];

// Guards against permits and forwarded requests that stop for good, because no URL can be made of an address.
test('addresses of hosts at which no call can be made are not used', () => {
	const sound = ['127.0.0.1:80', 'host-1.example:7380', '[::1]:80'];
	assert.deepEqual(fromPeerAddresses([...oddAddresses, ...sound]), sound);
	for (const peerAddress of oddAddresses) {
		assert.equal(
			toRelayCandidate(create(ReportRequestSchema, {host: 'h', peerAddress})),
			undefined,
			peerAddress,
		);
	}

	for (const peerAddress of sound) {
		assert.equal(
			toRelayCandidate(create(ReportRequestSchema, {host: 'h', peerAddress}))
				?.peerAddress,
			peerAddress,
		);
	}
});

// Guards against a document that loses a part on its way through a host of another build.
test('a document is read from a report as it was sent', () => {
	const text = JSON.stringify({...forwardingDocument, laterField: {a: 1}});
	const read = decodeForwardingDocument(text)._unsafeUnwrap();
	assert.deepEqual(read, JSON.parse(text));
});
