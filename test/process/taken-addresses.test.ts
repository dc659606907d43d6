import assert from 'node:assert/strict';
import {readFile, writeFile} from 'node:fs/promises';
import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {after, before, test} from 'node:test';
import {
	freePort,
	listenerKinds,
	spawnForwarding,
	writeForwardingSettings,
	type TestSettings,
} from './forwarding-host.js';
import {TestProcess, waitUntil} from './processes.js';
import {callServed, ServedFleet, statusOf} from './served-fleet.js';

const fleet = new ServedFleet();
const started: TestProcess[] = [];
let settings: TestSettings;

before(async () => {
	settings = {store: await fleet.start()};
});

after(() => {
	for (const {child} of started) {
		child.kill('SIGKILL');
	}

	fleet.stop();
});

async function pause(milliseconds: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

function start(file: string): TestProcess {
	const host = new TestProcess(spawnForwarding(file));
	started.push(host);
	return host;
}

/** A port that another socket holds until it is freed. */
type TakenPort = {
	readonly port: number;
	readonly free: () => Promise<void>;
};

async function listenAnywhere(server: Server): Promise<number> {
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
}

async function takeWithListener(): Promise<TakenPort> {
	const server = createServer();
	return {
		port: await listenAnywhere(server),
		free: async () =>
			new Promise((resolve) => {
				server.close(() => {
					resolve();
				});
			}),
	};
}

/** Number of sockets of this machine with a local port, those in the state TIME_WAIT included. */
async function countSockets(port: number): Promise<number> {
	const table = await readFile('/proc/net/tcp', 'utf8');
	const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
	return table
		.split('\n')
		.filter((line) => line.trim().split(/\s+/)[1]?.endsWith(suffix)).length;
}

/** Takes the port that the kernel chooses for an outgoing connection. The other side closes the connection first, because a port in the state TIME_WAIT stays in use for a minute. */
async function takeWithConnection(): Promise<TakenPort> {
	const accepted: Socket[] = [];
	const server = createServer((socket) => {
		accepted.push(socket);
	});
	const serverPort = await listenAnywhere(server);
	const connectOnce = async () => {
		const socket = connect(serverPort, '127.0.0.1');
		socket.resume();
		await new Promise<void>((resolve) => {
			socket.once('connect', resolve);
		});
		return socket;
	};

	let connection = await connectOnce();
	// The kernel also gives out ports that connections to other addresses have. They would hold the port longer.
	for (
		let attempt = 0;
		attempt < 50 && (await countSockets(connection.localPort!)) > 1;
		attempt++
	) {
		connection.destroy();
		connection = await connectOnce();
	}

	return {
		port: connection.localPort!,
		free: async () =>
			new Promise((resolve) => {
				connection.once('close', () => {
					server.close();
					resolve();
				});
				for (const socket of accepted) {
					socket.end();
				}
			}),
	};
}

/** Starts a host while the port of one listener is taken, and checks that it waits, is not ready before, and then serves. */
async function checkTakenPort(
	kind: (typeof listenerKinds)[number],
	milliseconds: number,
	take: () => Promise<TakenPort>,
): Promise<void> {
	const {port, free} = await take();
	const {file, ports} = await writeForwardingSettings(
		`${kind}-${milliseconds}`,
		settings,
		{[kind]: port},
	);
	const host = start(file);
	const unavailable = await host.json(
		`the failed attempt for ${kind}`,
		({message}) => message === 'listener-unavailable',
	);
	assert.equal(unavailable.fields.address, `127.0.0.1:${ports[kind]}`);
	assert.equal(unavailable.fields.code, 'EADDRINUSE');
	assert.equal(unavailable.fields.attempt, 1);
	const freeAt = performance.now() + milliseconds;
	while (performance.now() < freeAt) {
		if (kind !== 'readiness') {
			assert.notEqual(await statusOf(ports.readiness!, '/ready'), 200);
		}

		await pause(50);
	}

	assert.equal(host.exitCode, undefined);
	assert.ok(!host.lines.some((line) => line.includes('"forwarding-ready"')));
	await free();
	await host.json('the listener', ({message}) => message === 'listener-opened');
	await host.json('readiness', ({message}) => message === 'forwarding-ready');
	await waitUntil('the host serves', async () =>
		(await callServed(ports.callers!)) === 200 ? true : undefined,
	);
	assert.equal(await statusOf(ports.readiness!, '/ready'), 200);
	assert.equal(await statusOf(ports.metrics!, '/metrics'), 200);
	await host.kill();
}

// Guards against a host that ends because the process before it, which is about to end, still holds an address.
for (const milliseconds of [100, 2000, 5000]) {
	test(`a host waits for an address that a listener holds for ${milliseconds} ms`, async () => {
		await Promise.all(
			listenerKinds.map(async (kind) =>
				checkTakenPort(kind, milliseconds, takeWithListener),
			),
		);
	});
}

// Guards against a host that ends because the kernel gave its port to an outgoing connection.
test('a host waits for an address that an outgoing connection holds', async () => {
	await Promise.all(
		listenerKinds.map(async (kind) =>
			checkTakenPort(kind, 1000, takeWithConnection),
		),
	);
});

// Guards against a host that ends because its network interface gets its address later.
test('a host waits for an address that is not there yet, and SIGTERM ends it with code 0', async () => {
	const {file} = await writeForwardingSettings('no-address', settings);
	const text = await readFile(file, 'utf8');
	const port = await freePort();
	// An address of the range for documentation, which no machine has.
	await writeFile(
		file,
		text.replace(/callers: .*/, `callers: 192.0.2.1:${port}`),
	);
	const host = start(file);
	await host.json(
		'the second attempt',
		({message, fields}) =>
			message === 'listener-unavailable' &&
			fields.code === 'EADDRNOTAVAIL' &&
			fields.attempt === 2,
	);
	const signalledAt = performance.now();
	host.signal('SIGTERM');
	assert.equal(await host.waitForExit(), 0);
	assert.ok(performance.now() - signalledAt < 2000);
	await host.json(
		'the end',
		({message, fields}) => message === 'process-ending' && fields.code === 0,
	);
});

// Guards against a host that tries for 75 s what cannot succeed.
test('a host that may not use an address ends at once with code 1', async () => {
	const {file} = await writeForwardingSettings('wrong-address', settings);
	const text = await readFile(file, 'utf8');
	await writeFile(
		file,
		// Listening on a multicast address of IPv6 is an invalid argument.
		text.replace(/callers: .*/, "callers: '[ff02::1]:8080'"),
	);
	const host = start(file);
	const startedAt = performance.now();
	assert.equal(await host.waitForExit(), 1);
	assert.ok(performance.now() - startedAt < 15_000);
});
