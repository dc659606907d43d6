import assert from 'node:assert/strict';
import {createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {StoreClient} from '../../src/platform/store-client.js';

const oddOffsets = ['0.5', '-1', '1e300', '9007199254740992', '274877906944'];

// Guards against a host that reads from a position that no store has, and so follows the store no more.
test('an offset that no store has is an error', async (context) => {
	let body = '';
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			socket.end(
				`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
			);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const client = new StoreClient({address: `127.0.0.1:${port}`});
	context.after(async () => {
		await client.dispose();
		server.close();
	});
	for (const offset of oddOffsets) {
		body = `{"items":[],"more":false,"end":${offset}}`;
		assert.ok((await client.readNewest('t')).isErr(), `end ${offset}`);
		body = `{"items":[{"key":"a","value":"","offset":${offset}}],"more":false,"end":1}`;
		assert.ok((await client.readNewest('t')).isErr(), `offset ${offset}`);
		body = `{"offset":${offset}}`;
		assert.ok(
			(await client.append('t', Buffer.from('a'), 0)).isErr(),
			`appended ${offset}`,
		);
	}
});
