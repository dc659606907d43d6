import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {EngineServer} from '../../src/stand-ins/engine-server.js';
import {until} from '../process/processes.js';

type Order = {
	readonly action: 'load' | 'unload' | 'fence';
	readonly orderId: string;
	readonly token: number;
	readonly artifact?: string;
	readonly bytes?: number;
};

/** Sends an order and returns the status code of the response. */
async function sendOrder(server: EngineServer, order: Order): Promise<number> {
	const response = await request(`${server.address}/orders`, {
		method: 'POST',
		body: JSON.stringify(order),
	});
	await response.body.dump();
	return response.statusCode;
}

/** Restarts the engine and waits until it responds as a new incarnation. */
async function restart(server: EngineServer): Promise<void> {
	const {incarnation} = server;
	server.setFaults({restartMilliseconds: 0});
	server.crash();
	await until('the engine accepts connections again', async () => {
		try {
			const response = await request(`${server.address}/ping`, {reset: true});
			const body = (await response.body.json()) as {incarnation: string};
			return body.incarnation === incarnation ? undefined : body;
		} catch {
			return undefined;
		}
	});
}

// Guards against a restart that undoes a fence: a load ordered by an earlier lease holder would then take
// memory that the current one does not account for.
test('an engine that honours fencing keeps its highest token over a restart', async (t) => {
	const server = new EngineServer();
	t.after(async () => server.dispose());
	await server.start();
	assert.equal(
		await sendOrder(server, {action: 'fence', orderId: 'f', token: 7}),
		200,
	);
	await restart(server);
	assert.equal(server.snapshot().highestToken, 7);
	const stale = {orderId: 'o', token: 6, artifact: 'model/m@1', bytes: 10};
	assert.equal(await sendOrder(server, {action: 'load', ...stale}), 409);
	assert.deepEqual(server.snapshot().artifacts, []);
});

// Guards against a settled load that takes memory again when the order is delivered a second time.
test('an engine that ignores fencing executes an order id at most once, even after a restart', async (t) => {
	const server = new EngineServer({honoursFencing: false});
	t.after(async () => server.dispose());
	await server.start();
	const load: Order = {
		action: 'load',
		orderId: 'o1',
		token: 5,
		artifact: 'adapter/a@1',
		bytes: 10,
	};
	assert.equal(await sendOrder(server, load), 200);
	assert.equal(
		await sendOrder(server, {...load, action: 'unload', orderId: 'o2'}),
		200,
	);
	assert.equal(await sendOrder(server, load), 200);
	assert.deepEqual(server.snapshot().artifacts, []);
	assert.equal(server.orders.length, 2);

	await restart(server);
	assert.equal(await sendOrder(server, load), 200);
	assert.deepEqual(server.snapshot().artifacts, []);
});

// Guards against a refused load, whose charge was freed, that takes effect when it is delivered a second time.
test('an engine that ignores fencing refuses an order id again after its first refusal', async (t) => {
	const server = new EngineServer({
		honoursFencing: false,
		memoryBytes: 100,
		artifacts: [{key: 'model/m@1', bytes: 60}],
	});
	t.after(async () => server.dispose());
	await server.start();
	const load: Order = {
		action: 'load',
		orderId: 'o1',
		token: 5,
		artifact: 'model/n@1',
		bytes: 60,
	};
	assert.equal(await sendOrder(server, load), 409);
	const unload = {orderId: 'o2', token: 5, artifact: 'model/m@1'};
	assert.equal(await sendOrder(server, {action: 'unload', ...unload}), 200);
	assert.equal(await sendOrder(server, load), 409);
	assert.deepEqual(server.snapshot().artifacts, []);
});

// Guards against tests of repeated orders in which no order is delivered twice.
test('the fault for repeated orders delivers an order twice', async (t) => {
	const server = new EngineServer();
	t.after(async () => server.dispose());
	await server.start();
	server.setFaults({orders: [{kind: 'repeated'}]});
	assert.equal(
		await sendOrder(server, {action: 'fence', orderId: 'f', token: 7}),
		200,
	);
	await until('the second delivery of the order', () =>
		server.orders.length === 2 ? true : undefined,
	);
});
