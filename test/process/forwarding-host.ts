import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'yaml';
import {TestProcess, waitUntil} from './processes.js';

/** Listeners of a forwarding host. */
export const listenerKinds = [
	'callers',
	'readiness',
	'peers',
	'metrics',
] as const;

/** A forwarding host in a process of its own, with the port of each listener. */
export type ForwardingTestHost = {
	readonly process: TestProcess;
	readonly ports: Readonly<Record<string, number>>;
	readonly settingsFile: string;
};

/** Returns a port that is free at the moment. */
export async function freePort(): Promise<number> {
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

/** Settings of a test host. */
export type TestSettings = Readonly<Record<string, unknown>> & {
	readonly store: string;
};

/**
 * Starts a forwarding host. The settings replace or extend the usual ones. Another process can take a port between the
 * choice of the port and the start of the host. The host, which would wait for the port, is then killed, and another one
 * is started with other ports.
 */
export async function startForwardingHost(
	name: string,
	settings: TestSettings,
	programFile = defaultProgramFile,
	maximumDescriptors?: number,
): Promise<ForwardingTestHost> {
	for (;;) {
		const {file, ports} = await writeForwardingSettings(name, settings);
		const host = new TestProcess(
			spawnForwarding(file, undefined, programFile, maximumDescriptors),
		);
		const {lines} = host;
		const isPortTaken = () => lines.some((line) => line.includes('EADDRINUSE'));
		await waitUntil(
			`${name} starts or ends`,
			() =>
				host.exitCode !== undefined ||
				isPortTaken() ||
				lines.some((line) => line.includes('"forwarding-started"')),
		);
		if (!isPortTaken()) {
			return {process: host, ports, settingsFile: file};
		}

		await host.kill();
	}
}

/** Starts the program with a settings file. The values of `stdio` are those of standard output and standard error. */
export function spawnForwarding(
	settingsFile: string,
	stdio: ReadonlyArray<'pipe' | 'ignore' | number> = ['pipe', 'pipe'],
	programFile = defaultProgramFile,
	maximumDescriptors?: number,
): ChildProcess {
	const program = [programFile, 'forward', '--settings', settingsFile];
	const [command, args] =
		maximumDescriptors === undefined
			? [process.execPath, program]
			: [
					'/bin/sh',
					[
						'-c',
						`ulimit -n ${Math.floor(maximumDescriptors)}; exec "$0" "$@"`,
						process.execPath,
						...program,
					],
				];
	return spawn(command, args, {stdio: ['ignore', ...stdio]});
}

/** Writes the settings of a forwarding host to a new file. The settings replace or extend the usual ones. Listeners without a given port get free ones. */
export async function writeForwardingSettings(
	name: string,
	settings: TestSettings,
	givenPorts: Readonly<Record<string, number>> = {},
): Promise<{
	readonly file: string;
	readonly ports: Readonly<Record<string, number>>;
}> {
	const directory = await mkdtemp(path.join(tmpdir(), 'forwarding-'));
	const file = path.join(directory, 'settings.yaml');
	const ports: Record<string, number> = {};
	const listen: Record<string, string> = {};
	for (const kind of listenerKinds) {
		ports[kind] = givenPorts[kind] ?? (await freePort());
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
	return {file, ports};
}
