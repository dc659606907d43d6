/* eslint-disable camelcase -- the names are those of the platform */
import {spawn} from 'node:child_process';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const repository = path.resolve(import.meta.dirname, '..', '..');

/** Bounds of a small deployment. The names are those of the platform's settings. */
const usualBounds = {
	drain_ms: 2000,
	budget_ratio: 0.2,
	budget_window_s: 10,
	retry_slack: 56,
	lease_ms: 3000,
	grace_s: 8,
};

/** Fills in the project's template for settings as the platform does. Names without a value yield nothing. */
function render(template, fields) {
	return template.replaceAll(/{{([\w.]+)}}/g, (_text, name) => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return value === undefined ? '' : String(value);
	});
}

async function freePort(host) {
	const server = createServer();
	await new Promise((resolve) => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

/** One process of the deploy file's role, on a loopback address of its own. */
export class Host {
	/** Lines that the current process has written. */
	lines = [];
	#child;

	constructor({name, ip, fleet}) {
		Object.assign(this, {name, ip, fleet});
	}

	get pid() {
		return this.#child?.pid;
	}

	async prepare(store, bounds) {
		const {directory, template} = this.fleet;
		this.front = {host: this.ip, port: await freePort(this.ip)};
		this.ready = {host: this.ip, port: await freePort(this.ip)};
		const peers = await freePort(this.ip);
		this.settings = path.join(directory, `${this.name}.yaml`);
		await writeFile(
			this.settings,
			render(template, {
				node_name: this.name,
				zone: 'zone-a',
				ip: this.ip,
				port_range: [peers, peers + 15],
				listen: {
					front: `${this.ip}:${this.front.port}`,
					ready: `${this.ip}:${this.ready.port}`,
				},
				limits: {cpu_share: 0.675, ram_mb: 350},
				bounds: {...usualBounds, ...bounds},
				platform: {addr: store},
			}),
		);
	}

	/** Starts the process with the command of the deploy file. */
	start() {
		const [program, ...words] = this.fleet.command;
		this.lines = [];
		const child = spawn(program, words, {
			cwd: repository,
			env: {PATH: process.env.PATH, DAISYLEVER_CONFIG: this.settings},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		this.ended = new Promise((resolve) => {
			child.once('exit', resolve);
		});
		let rest = '';
		const read = (chunk) => {
			const texts = (rest + chunk).split('\n');
			rest = texts.pop();
			this.lines.push(...texts);
		};

		child.stdout.setEncoding('utf8').on('data', read);
		child.stderr.setEncoding('utf8').on('data', read);
	}

	signal(name) {
		this.#child.kill(name);
	}

	async kill() {
		this.#child?.kill('SIGKILL');
		await this.ended;
	}

	/** True when the process has written a log line with the event. */
	hasLogged(event) {
		return this.lines.some((line) => line.includes(`"${event}"`));
	}
}

/** The processes of a case, and the folder of their settings. */
export class Fleet {
	hosts = [];

	/** Reads the deploy file and its template. */
	async open() {
		const deploy = await readFile(
			path.join(repository, 'deploy/system.toml'),
			'utf8',
		);
		this.command = /^run = "([^"]+)"/m.exec(deploy)[1].split(' ');
		const template = /^template = "([^"]+)"/m.exec(deploy)[1];
		this.template = await readFile(path.join(repository, template), 'utf8');
		this.directory = await mkdtemp(path.join(tmpdir(), 'review-'));
	}

	/** Starts a process for each address and waits until all are ready. */
	async start(addresses, store, bounds = {}) {
		for (const [index, ip] of addresses.entries()) {
			const host = new Host({name: `front-${index + 1}`, ip, fleet: this});
			await host.prepare(store, bounds);
			this.hosts.push(host);
		}

		for (const host of this.hosts) {
			host.start();
		}
	}

	async stop() {
		await Promise.all(this.hosts.map(async (host) => host.kill()));
		await rm(this.directory, {recursive: true, force: true});
	}
}
