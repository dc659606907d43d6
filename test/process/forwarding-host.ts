import {spawn} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'yaml';
import {TestProcess, waitUntil} from './processes.js';

/** A forwarding host in a process of its own, with the port of each listener. */
export type ForwardingTestHost = {
	readonly process: TestProcess;
	readonly ports: Readonly<Record<string, number>>;
	readonly settingsFile: string;
};

async function freePort(): Promise<number> {
	const server = createServer();
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

/** Program of the hosts. Another build can be tested with the same stand-ins and callers. */
const defaultProgramFile =
	process.env.DAISYLEVER_PROGRAM ?? 'build/src/program/main.js';

type TestSettings = Readonly<Record<string, unknown>> & {
	readonly store: string;
};

/**
 * Starts a forwarding host. The settings replace or extend the usual ones. Another process can take a port between the
 * choice of the port and the start of the host, which then ends and is started again with other ports.
 */
export async function startForwardingHost(
	name: string,
	settings: TestSettings,
	programFile = defaultProgramFile,
): Promise<ForwardingTestHost> {
	for (;;) {
		const host = await spawnForwardingHost(name, settings, programFile);
		const {lines} = host.process;
		await waitUntil(
			`${name} starts or ends`,
			() =>
				host.process.exitCode !== undefined ||
				lines.some((line) => line.includes('"forwarding-started"')),
		);
		if (!lines.some((line) => line.includes('EADDRINUSE'))) {
			return host;
		}
	}
}

async function spawnForwardingHost(
	name: string,
	settings: TestSettings,
	programFile: string,
): Promise<ForwardingTestHost> {
	const directory = await mkdtemp(path.join(tmpdir(), 'forwarding-'));
	const file = path.join(directory, 'settings.yaml');
	const ports: Record<string, number> = {};
	const listen: Record<string, string> = {};
	for (const kind of ['callers', 'readiness', 'peers', 'metrics']) {
		ports[kind] = await freePort();
		listen[kind] = `127.0.0.1:${ports[kind]}`;
	}

	await writeFile(
		file,
		stringify({
			host: name,
			failureDomain: 'z',
			listen,
			retries: {ratio: 0.2, slack: 56, windowSeconds: 10},
			lease: {handoverMilliseconds: 3000},
			stopSeconds: 8,
			...settings,
		}),
	);
	const child = spawn(
		process.execPath,
		[programFile, 'forward', '--settings', file],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	return {process: new TestProcess(child), ports, settingsFile: file};
}
