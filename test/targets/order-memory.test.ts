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

async function send(server: EngineServer, order: Order): Promise<number> {
	const answer = await request(`${server.address}/orders`, {
		method: 'POST',
		body: JSON.stringify(order),
	});
	await answer.body.dump();
	return answer.statusCode;
}

async function restart(server: EngineServer): Promise<void> {
	const {incarnation} = server;
	server.setFaults({restartMilliseconds: 0});
	server.crash();
	await until('the engine listens again', async () => {
		try {
			const answer = await request(`${server.address}/ping`, {reset: true});
			const body = (await answer.body.json()) as {incarnation: string};
			return body.incarnation === incarnation ? undefined : body;
		} catch {
			return undefined;
		}
	});
}

// Guards against a fence that a restart undoes: an order of an older holder would load uncharged.
test('an engine that honours fencing keeps its highest token over a restart', async (t) => {
	const server = new EngineServer();
	t.after(async () => server.dispose());
	await server.start();
	assert.equal(
		await send(server, {action: 'fence', orderId: 'f', token: 7}),
		200,
	);
	await restart(server);
	assert.equal(server.snapshot().highestToken, 7);
	const stale = {orderId: 'o', token: 6, artifact: 'model/m@1', bytes: 10};
	assert.equal(await send(server, {action: 'load', ...stale}), 409);
	assert.deepEqual(server.snapshot().artifacts, []);
});

// Guards against a settled load that takes memory again when a second copy of the order arrives.
test('an engine that ignores fencing carries an order id out at most once, over a restart too', async (t) => {
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
	assert.equal(await send(server, load), 200);
	assert.equal(
		await send(server, {...load, action: 'unload', orderId: 'o2'}),
		200,
	);
	assert.equal(await send(server, load), 200);
	assert.deepEqual(server.snapshot().artifacts, []);
	assert.equal(server.orders.length, 2);

	await restart(server);
	assert.equal(await send(server, load), 200);
	assert.deepEqual(server.snapshot().artifacts, []);
});

// Guards against a refused load, whose charge was freed, that takes effect through a second copy.
test('an engine that ignores fencing refuses a refused order id again', async (t) => {
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
	assert.equal(await send(server, load), 409);
	const unload = {orderId: 'o2', token: 5, artifact: 'model/m@1'};
	assert.equal(await send(server, {action: 'unload', ...unload}), 200);
	assert.equal(await send(server, load), 409);
	assert.deepEqual(server.snapshot().artifacts, []);
});

// Guards against a test of repeated orders in which no second copy arrives.
test('a repeated order arrives a second time', async (t) => {
	const server = new EngineServer();
	t.after(async () => server.dispose());
	await server.start();
	server.setFaults({orders: [{kind: 'repeated'}]});
	assert.equal(
		await send(server, {action: 'fence', orderId: 'f', token: 7}),
		200,
	);
	await until('the second copy', () =>
		server.orders.length === 2 ? true : undefined,
	);
});
