/* eslint-disable camelcase -- these are the names of the platform. */
/** Starts the deployed program on loopback addresses and ends every process that it started. */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** The scripts start in the root of the repository. */
const root = process.cwd();

export const sleep = async (milliseconds) =>
	new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});

/** Polls until the condition holds, for at most the given time. */
export async function waitUntil(condition, milliseconds) {
	const end = performance.now() + milliseconds;
	for (;;) {
		const value = await condition();
		if (value) {
			return value;
		}

		if (performance.now() > end) {
			return undefined;
		}

		await sleep(20);
	}
}

export async function freePort() {
	const server = createServer();
	await new Promise((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

/** Fills the settings template of the deploy file. */
function fillTemplate(fields) {
	const template = readFileSync(
		path.join(root, 'deploy/settings.yaml'),
		'utf8',
	);
	return template.replaceAll(/{{([^{}]+)}}/g, (_, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return String(value ?? '');
	});
}

/** The processes of one deployment. */
export class Deployment {
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	hosts = [];

	/** Starts `target/daisylever forward`, the command of the deploy file, and waits until it is ready. */
	async startHost(
		name,
		store,
		{zone = 'z1', ip = '127.0.0.1', ports, bounds = {}} = {},
	) {
		ports ??= {
			front: await freePort(),
			ready: await freePort(),
			peers: await freePort(),
		};
		const settings = path.join(this.folder, `${name}.yaml`);
		const text = fillTemplate({
			node_name: name,
			zone,
			ip,
			port_range: [ports.peers],
			listen: {front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`},
			platform: {addr: store},
			limits: {cpu_share: 0.675},
			bounds: {
				budget_ratio: 0.2,
				retry_slack: 56,
				budget_window_s: 10,
				lease_ms: 3000,
				drain_ms: 2000,
				grace_s: 8,
				...bounds,
			},
		});
		// The port of the metrics is fixed in the template; several processes on one address need one each.
		writeFileSync(
			settings,
			text.replace(`${ip}:9464`, `${ip}:${await freePort()}`),
		);
		const child = spawn(path.join(root, 'target/daisylever'), ['forward'], {
			cwd: root,
			stdio: ['ignore', 'pipe', 'pipe'],
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				DAISYLEVER_CONFIG: settings,
			},
		});
		const host = {
			name,
			ip,
			ports,
			child,
			lines: [],
			exit: undefined,
			zone,
			store,
		};
		this.hosts.push(host);
		let rest = '';
		const collect = (chunk) => {
			const parts = (rest + chunk).split('\n');
			rest = parts.pop();
			host.lines.push(...parts);
		};

		child.stdout.on('data', collect);
		child.stderr.on('data', collect);
		child.once('exit', (code, signal) => {
			host.exit = {code, signal};
		});
		child.once('error', () => {
			host.exit = {code: undefined, signal: undefined};
		});
		return host;
	}

	async waitReady(host, milliseconds = 15_000) {
		return waitUntil(async () => {
			try {
				const response = await fetch(
					`http://${host.ip}:${host.ports.ready}/ready`,
				);
				return response.status === 200;
			} catch {
				return false;
			}
		}, milliseconds);
	}

	/** Kills all processes that still run. */
	kill() {
		for (const {child, exit} of this.hosts) {
			if (!exit) {
				child.kill('SIGKILL');
			}
		}
	}

	async stop() {
		this.kill();
		await waitUntil(() => this.hosts.every(({exit}) => exit), 5000);
		rmSync(this.folder, {recursive: true, force: true});
	}
}
