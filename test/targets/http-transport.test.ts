import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {HttpTransport} from '../../src/adapters/node/http-transport.js';
import {waitUntil} from '../process/processes.js';

// Guards against exchanges on sound connections that fail because another exchange of the pool timed out.
test('transport: exchanges and streams in flight end normally after another exchange timed out', async () => {
	const pending = new Map<string, ServerResponse>();
	const server = createServer((request, response) => {
		pending.set(request.url ?? '', response);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const transport = new HttpTransport({address: `http://127.0.0.1:${port}`});
	try {
		const exchange = transport.exchange(
			{method: 'GET', path: '/exchange'},
			{timeoutMilliseconds: 30_000},
		);
		const stream = transport.open(
			{method: 'GET', path: '/stream'},
			new AbortController().signal,
		);
		await waitUntil('both requests arrive', () => pending.size === 2);
		pending.get('/stream')!.write('first ');
		assert.ok((await stream.head).isOk());
		const silent = await transport.exchange(
			{method: 'GET', path: '/silent'},
			{timeoutMilliseconds: 100},
		);
		assert.equal(silent._unsafeUnwrapErr().reason, 'timeout');
		// Gives a connection that is wrongly closed the time to fail.
		const later = transport.exchange(
			{method: 'GET', path: '/later'},
			{timeoutMilliseconds: 30_000},
		);
		await waitUntil('the later request arrives', () => pending.has('/later'));
		pending.get('/later')!.end('later');
		assert.ok((await later).isOk());
		pending.get('/exchange')!.end('done');
		pending.get('/stream')!.end('last');
		const {body} = (await exchange)._unsafeUnwrap();
		assert.equal(Buffer.from(body).toString(), 'done');
		let text = '';
		let chunk = (await stream.read())._unsafeUnwrap();
		while (chunk) {
			text += Buffer.from(chunk).toString();
			chunk = (await stream.read())._unsafeUnwrap();
		}

		assert.equal(text, 'first last');
	} finally {
		await transport.dispose();
		server.closeAllConnections();
		server.close();
	}
});
