import assert from 'node:assert/strict';
import {once} from 'node:events';
import {readdir, readFile, readlink, writeFile} from 'node:fs/promises';
import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {after, before, test, type TestContext} from 'node:test';
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
/** The limit lets a fault that makes each round invalid end the test. */
const maximumRounds = 10;
/** Connections of which one with a port of its own is kept. */
const connectionsAtOnce = 20;
/** Attempts, one in half a second, for longer than the kernel keeps closed connections. */
const maximumAttempts = 140;

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
	server.unref();
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

/** A socket of this machine in /proc/net/tcp. */
type KernelSocket = {
	/** State in hexadecimal digits, 06 is TIME_WAIT and 0A is LISTEN. */
	readonly state: string;
	readonly remoteAddress: string;
	/** 0 when no process holds the socket any longer. */
	readonly inode: string;
};

/** Sockets of this machine by local port, those in the state TIME_WAIT included. */
async function socketsByPort(): Promise<Map<number, KernelSocket[]>> {
	const table = await readFile('/proc/net/tcp', 'utf8');
	const sockets = new Map<number, KernelSocket[]>();
	for (const line of table.trim().split('\n').slice(1)) {
		const columns = line.trim().split(/\s+/);
		const port = Number.parseInt(columns[1]!.split(':')[1]!, 16);
		const socket = {
			remoteAddress: columns[2]!,
			state: columns[3]!,
			inode: columns[9]!,
		};
		sockets.set(port, [...(sockets.get(port) ?? []), socket]);
	}

	return sockets;
}

/** Sockets with a local port that a process does not hold. */
async function socketsOfOthers(
	port: number,
	processId: number,
): Promise<KernelSocket[]> {
	const sockets = (await socketsByPort()).get(port) ?? [];
	if (sockets.length === 0) {
		return sockets;
	}

	const folder = `/proc/${processId}/fd`;
	const descriptors = await readdir(folder);
	const links = await Promise.all(
		descriptors.map(async (descriptor) =>
			// A descriptor can be closed in the meantime.
			readlink(`${folder}/${descriptor}`).catch(() => ''),
		),
	);
	return sockets.filter(({inode}) => !links.includes(`socket:[${inode}]`));
}

/** Takes a port that the kernel chooses for an outgoing connection. The other side closes the connection first, because a port in the state TIME_WAIT stays in use for a minute. */
async function takeWithConnection(): Promise<TakenPort> {
	const accepted = new Map<number, Socket>();
	const server = createServer((socket) => {
		socket.resume();
		// Sockets of a failed test must not keep the process of the tests running.
		socket.unref();
		const {remotePort} = socket;
		accepted.set(remotePort!, socket);
		socket.once('close', () => {
			accepted.delete(remotePort!);
		});
	});
	const serverPort = await listenAnywhere(server);
	const connectOnce = async () => {
		const socket = connect(serverPort, '127.0.0.1');
		socket.resume();
		socket.unref();
		await new Promise<void>((resolve) => {
			socket.once('connect', resolve);
		});
		await waitUntil('the connection is accepted', () =>
			accepted.has(socket.localPort!),
		);
		return {port: socket.localPort!, socket};
	};

	const close = async ({port, socket}: {port: number; socket: Socket}) => {
		const other = accepted.get(port)!;
		// The entry of the port is gone when the kernel gives out the port again.
		const closed = [socket, other].map(async (end) => once(end, 'close'));
		other.end();
		await Promise.all(closed);
	};

	// The kernel also gives out ports that connections to other addresses have. They would hold the port longer.
	for (let attempt = 0; attempt < maximumAttempts; attempt++) {
		const connections = await Promise.all(
			Array.from({length: connectionsAtOnce}, connectOnce),
		);
		const sockets = await socketsByPort();
		const taken = connections.find(({port}) => sockets.get(port)?.length === 1);
		await Promise.all(
			connections.filter((connection) => connection !== taken).map(close),
		);
		if (taken !== undefined) {
			return {
				port: taken.port,
				async free() {
					await close(taken);
					server.close();
				},
			};
		}

		await pause(500);
	}

	throw new Error('other connections hold all ports that the kernel chose');
}

/** A round of a check in which a socket of another process held a port of the host says nothing about the host. */
type Round = {readonly isValid: boolean; readonly reason: string};

/**
 * Starts a host while the port of one listener is taken, and checks that it waits, is not ready before, and then serves.
 * The kernel can give a port of the host to a socket of another process: one of the free ports before the host listens on
 * it, and the taken port after its release or, with an outgoing connection to another address, even before. In the state
 * TIME_WAIT such a socket stays for 60 s, and the host waits rightly. Another round with other ports follows then.
 */
async function checkTakenPort(
	context: TestContext,
	kind: (typeof listenerKinds)[number],
	milliseconds: number,
	take: () => Promise<TakenPort>,
): Promise<void> {
	const reasons: string[] = [];
	while (reasons.length < maximumRounds) {
		const {isValid, reason} = await runRound(kind, milliseconds, take);
		if (isValid) {
			return;
		}

		reasons.push(reason);
		context.diagnostic(`another round for ${kind}: ${reason}`);
	}

	assert.fail(`no round for ${kind} was valid:\n${reasons.join('\n')}`);
}

async function runRound(
	kind: (typeof listenerKinds)[number],
	milliseconds: number,
	take: () => Promise<TakenPort>,
): Promise<Round> {
	const {port, free} = await take();
	const {file, ports} = await writeForwardingSettings(
		`${kind}-${milliseconds}`,
		settings,
		{[kind]: port},
	);
	const address = `127.0.0.1:${port}`;
	const host = start(file);
	const unavailable = await host.json(
		`the failed attempt for ${kind}`,
		({message}) => message === 'listener-unavailable',
	);
	const findOtherTaken = () =>
		listenerKinds.find(
			(other) =>
				other !== kind &&
				host.lines.some(
					(line) =>
						line.includes('"listener-unavailable"') &&
						line.includes(`"127.0.0.1:${ports[other]}"`),
				),
		);
	if (findOtherTaken() !== undefined) {
		await Promise.all([free(), host.kill()]);
		return {isValid: false, reason: `${findOtherTaken()} had no free port`};
	}

	assert.equal(unavailable.fields.address, address);
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
	const holders = await waitUntilOpenedOrHeld(host, port);
	if (holders.length > 0) {
		// A host that ends instead of waiting fails the check in this case too.
		assert.equal(host.exitCode, undefined);
		await host.kill();
		return {
			isValid: false,
			reason: `the port ${port} is held by ${JSON.stringify(holders)}`,
		};
	}

	await host.json(
		'readiness',
		({message}) =>
			message === 'forwarding-ready' || findOtherTaken() !== undefined,
	);
	if (findOtherTaken() !== undefined) {
		assert.equal(host.exitCode, undefined);
		await host.kill();
		return {isValid: false, reason: `${findOtherTaken()} had no free port`};
	}

	await waitUntil('the host serves', async () =>
		(await callServed(ports.callers!)) === 200 ? true : undefined,
	);
	assert.equal(await statusOf(ports.readiness!, '/ready'), 200);
	assert.equal(await statusOf(ports.metrics!, '/metrics'), 200);
	await host.kill();
	return {isValid: true, reason: ''};
}

/** Waits until a host listens on a port that was taken, or until another process holds the port. Returns the sockets of other processes. */
async function waitUntilOpenedOrHeld(
	host: TestProcess,
	port: number,
): Promise<readonly KernelSocket[]> {
	const hasOpened = () =>
		host.lines.some(
			(line) =>
				line.includes('"listener-opened"') &&
				line.includes(`"127.0.0.1:${port}"`),
		);
	return waitUntil('the listener', async () => {
		assert.equal(host.exitCode, undefined, host.lines.join('\n'));
		if (hasOpened()) {
			return [];
		}

		// The table is long after many connections, and reading it takes the time of the other tests.
		await pause(100);
		const holders = await socketsOfOthers(port, host.child.pid!);
		return holders.length > 0 && !hasOpened() ? holders : undefined;
	});
}

// Guards against a host that ends because the process before it, which is about to end, still holds an address.
for (const milliseconds of [100, 2000, 5000]) {
	test(`a host waits for an address that a listener holds for ${milliseconds} ms`, async (context) => {
		await Promise.all(
			listenerKinds.map(async (kind) =>
				checkTakenPort(context, kind, milliseconds, takeWithListener),
			),
		);
	});
}

// Guards against a host that ends because the kernel gave its port to an outgoing connection.
test('a host waits for an address that an outgoing connection holds', async (context) => {
	await Promise.all(
		listenerKinds.map(async (kind) =>
			checkTakenPort(context, kind, 1000, takeWithConnection),
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
