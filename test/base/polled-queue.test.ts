import assert from 'node:assert/strict';
import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {ManualClock} from '../../src/base/common/clock.js';
import {PolledQueue} from '../../src/base/node/polled-queue.js';
import {SystemClock} from '../../src/base/node/system-clock.js';

/** Runs enough turns of the event loop for all actions that need no further poll. */
async function runTurns(count = 3): Promise<void> {
	for (let turn = 0; turn < count; turn++) {
		await nextTurn();
	}
}

/** Blocks the event loop. */
function block(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// The event loop is blocked.
	}
}

// Guards against an action that runs between the read of a request and the read of the end of its connection.
test('an action runs after the data and the end of a connection were read that had arrived before it was queued', async () => {
	const queue = new PolledQueue(new SystemClock());
	const server = createServer({allowHalfOpen: true});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const hasEnded = new Promise<boolean>((resolve) => {
		server.once('connection', (socket: Socket) => {
			socket.once('data', () => {
				queue.push(() => {
					resolve(socket.readableEnded);
					socket.destroy();
				});
			});
		});
	});
	const client = connect(port, '127.0.0.1', () => {
		client.write('request');
		client.destroy();
		// Both are received before the event loop polls the socket of the server.
		block(20);
	});
	assert.equal(await hasEnded, true);
	server.close();
});

// Guards against one turn that runs a whole backlog while callers leave unnoticed.
test('the actions of one turn end after a time, and the others follow in order', async () => {
	const clock = new ManualClock();
	const queue = new PolledQueue(clock);
	const ran: number[] = [];
	for (let action = 0; action < 6; action++) {
		queue.push(() => {
			ran.push(action);
			clock.advance(2);
		});
	}

	await runTurns(2);
	assert.deepEqual(ran, [0, 1, 2]);
	await runTurns(1);
	assert.deepEqual(ran, [0, 1, 2, 3, 4, 5]);
});

// Guards against new requests that hold up those whose work has begun.
test('an action of a begun request runs before the others', async () => {
	const queue = new PolledQueue(new ManualClock());
	const ran: string[] = [];
	queue.push(() => {
		ran.push('other');
	});
	queue.pushFirst(() => {
		ran.push('first');
	});
	await runTurns();
	assert.deepEqual(ran, ['first', 'other']);
});

// Guards against a poll that counts as recent for too long, and against a second wait right after a poll.
test('an action that needs a recent poll runs at once after one and waits for the next one later', async () => {
	const clock = new ManualClock();
	const queue = new PolledQueue(clock);
	const ran: string[] = [];
	queue.runPolled(() => {
		ran.push('waited');
	});
	assert.equal(ran.length, 0);
	await runTurns();
	queue.runPolled(() => {
		ran.push('at once');
	});
	assert.deepEqual(ran, ['waited', 'at once']);
	clock.advance(50);
	queue.runPolled(() => {
		ran.push('waited again');
	});
	assert.deepEqual(ran, ['waited', 'at once']);
	await runTurns();
	assert.deepEqual(ran, ['waited', 'at once', 'waited again']);
});

// Guards against actions after a turn in which callers may have left, and against a host whose turns are all long and
// that never sends a request again.
test('after long turns the sockets are polled again, but not for ever', async () => {
	const clock = new ManualClock();
	const queue = new PolledQueue(clock);
	let turns = 0;
	let ranAfter: number | undefined;
	queue.push(() => {
		ranAfter = turns;
	});
	for (; turns < 10; turns++) {
		await nextTurn();
		clock.advance(100);
	}

	assert.ok(ranAfter !== undefined && ranAfter >= 4, `${ranAfter}`);
});

// Guards against a queue that stops because one of its actions fails.
test('an action that throws does not hold up the next one', async (context) => {
	const queue = new PolledQueue(new ManualClock());
	const errors: Error[] = [];
	const keep = (error: Error) => {
		errors.push(error);
	};

	const listeners = process.listeners('uncaughtException');
	process.removeAllListeners('uncaughtException');
	process.on('uncaughtException', keep);
	context.after(() => {
		process.off('uncaughtException', keep);
		for (const listener of listeners) {
			process.on('uncaughtException', listener);
		}
	});
	let hasRun = false;
	const actions = [
		() => {
			throw new Error('an action failed');
		},
		() => {
			hasRun = true;
		},
	];
	for (const action of actions) {
		queue.push(action);
	}

	await runTurns(5);
	assert.equal(hasRun, true);
	assert.deepEqual(
		errors.map(({message}) => message),
		['an action failed'],
	);
});
