import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	ForwardResponseSchema,
	PeerForwardingService,
} from '../../src/generated/daisylever/forwarding/v1/forwarding_pb.js';
import {OwnerService} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {
	forwardingDocument,
	ForwardingHarness,
} from '../forwarding/forwarding-harness.js';

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

/** Starts another host that knows the given calls only. Returns its address. */
async function addPeer(
	routes: (router: ConnectRouter) => void,
): Promise<string> {
	const server = createServer(connectNodeAdapter({routes}));
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A message of a kind that no build knows. */
function unknownMessage() {
	const message = create(ForwardResponseSchema);
	message.$unknown = [
		{no: 1000, wireType: 2, data: Uint8Array.of(3, 8, 150, 1)},
	];
	return message;
}

async function* answerWithUnknownMessages(): AsyncGenerator<
	MessageInitShape<typeof ForwardResponseSchema>
> {
	yield unknownMessage();
	yield {
		message: {case: 'head', value: {status: 200, isFramed: true, headers: []}},
	};
	yield unknownMessage();
	yield {message: {case: 'data', value: {bytes: Buffer.from('one ')}}};
	yield unknownMessage();
	yield {message: {case: 'data', value: {bytes: Buffer.from('two')}}};
	yield unknownMessage();
	yield {message: {case: 'end', value: {}}};
}

// Guards against answers that are lost or cut because a later build sends further kinds of messages between their parts.
test('an answer of another host is whole with unknown kinds of messages in it', async () => {
	host.knownPeers = [
		await addPeer((router) => {
			router.service(PeerForwardingService, {
				forward: answerWithUnknownMessages,
			});
		}),
	];
	const result = await host.call('/once/a', {id: 'r-1'});
	assert.equal(result.status, 200);
	assert.equal(result.body, 'one two');
});

// Guards against requests that are lost, or count as run, because the first host that is asked has no such call yet.
test('a host that does not know the call is followed by one that does', async () => {
	const earlier = await addPeer((router) => {
		router.service(OwnerService, {});
	});
	host.knownPeers = [earlier];
	const refused = await host.call('/once/a', {id: 'r-1'});
	assert.equal(refused.status, 503);
	const later = await addPeer((router) => {
		router.service(PeerForwardingService, {
			forward: answerWithUnknownMessages,
		});
	});
	host.knownPeers = [earlier, later];
	const served = await host.call('/once/a', {id: 'r-2'});
	assert.equal(served.status, 200);
	assert.equal(served.body, 'one two');
});
