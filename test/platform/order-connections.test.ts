import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {request} from 'undici';
import {
	type FailureDomain,
	type HostId,
	type ModelId,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {type ListedTarget} from '../../src/contracts/listed-target.js';
import {PlatformOrderPort} from '../../src/platform/order-port.js';
import {TargetConnections} from '../../src/services/forwarding/targets/target-connections.js';
import {completeResponse, StandInWorker} from './stand-in-worker.js';

/** Calls of each kind, so that a shared connection would be used again. */
const rounds = 3;

// Guards against a caller, or an order, that gets the second copy of an answer to another order or report.
test('requests, reports and orders share no connection, and each order has one of its own', async (context) => {
	const worker = new StandInWorker('i-1');
	const sockets: Record<string, Socket[]> = {};
	worker.behaviour = ({path, headers, socket}) => {
		(sockets[path] ??= []).push(socket);
		const body =
			path === '/report' ? '{"models":[],"busy":false,"seq":1}' : 'ok';
		socket.write(completeResponse(headers.get('request-id') ?? '', body));
	};

	const address = await worker.start();
	const connections = new TargetConnections({address, maximumConnections: 1});
	context.after(async () => {
		await connections.dispose();
		worker.stop();
	});
	const target: ListedTarget = {
		id: worker.id as TargetId,
		pool: 'p' as PoolName,
		address,
		failureDomain: 'z' as FailureDomain,
		slots: 1,
		isLeaving: false,
		residency: {incarnation: 'i-1@1' as TargetIncarnation, models: []},
		localWeights: {inMemory: [], onDisk: []},
	};
	const port = new PlatformOrderPort(() => connections);
	for (let round = 0; round < rounds; round++) {
		const answer = await request(`http://${address}/request`, {
			dispatcher: connections.dispatcher,
		});
		await answer.body.dump();
		assert.ok((await port.fetchState(target)).isOk());
		const outcome = await port.sendOrder(target, {
			action: 'load',
			model: 'm' as ModelId,
			expectedSequence: 1,
			holder: 'h' as HostId,
			token: 1,
		} as Parameters<PlatformOrderPort['sendOrder']>[1]);
		assert.equal(outcome._unsafeUnwrap(), 'already-done');
	}

	const requests = new Set(sockets['/request']);
	const reports = new Set(sockets['/report']);
	const orders = new Set(sockets['/order']);
	assert.equal(requests.size, 1);
	assert.equal(reports.size, 1);
	assert.equal(orders.size, rounds);
	assert.equal(new Set([...requests, ...reports, ...orders]).size, 2 + rounds);
});
