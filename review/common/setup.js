/* eslint-disable camelcase -- these are the names of the platform. */
/** The parts of a small deployment that the cases share: store, configuration, workers and the record. */
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {StandInStore} from '../../build/test/platform/stand-in-store.js';
import {Deployment} from './processes.js';
import {Worker} from './worker.js';

export const hostName = 'wuny96.example';

/** A route of the configuration, with the figures of the site artos-orli. */
export function route(name, fields) {
	return {
		name,
		host: hostName,
		prefix: `/${name}/`,
		timeout_ms: 15_000,
		goal_ms: 300,
		priority: 1,
		attempts: 1,
		...fields,
	};
}

/** Writes what was sent, answered and run, with the time since the start. */
export class Record {
	startedAt = performance.now();

	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	add(text) {
		const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
		const line = `${seconds.padStart(8)} s  ${text}`;
		appendFileSync(this.file, `${line}\n`);
		console.log(line);
	}
}

/** A store, workers and hosts. `stop` ends all that was started. */
export class Setup {
	store = new StandInStore();
	workers = new Map();
	deployment = new Deployment();
	version = 0;

	async start() {
		this.storeAddress = await this.store.start();
	}

	/** Writes a configuration, as the operator does. */
	configure(routes, services) {
		this.version++;
		this.store.put('keyed.op', 'config', {
			version: this.version,
			routes,
			services,
			limits: {
				header_bytes: 16_384,
				max_body_bytes: 4_194_304,
				header_ms: 3000,
				idle_ms: 15_000,
			},
		});
	}

	/** Starts a worker and lists it. */
	async addWorker(id, entry, behaviour) {
		const worker = new Worker(id);
		worker.behaviour = behaviour;
		await worker.start();
		worker.entry = {
			addr: worker.address,
			zone: 'palermo',
			version: 'v1',
			state: 'ready',
			cold_left_ms: 0,
			seq: 1,
			born: Date.now(),
			...entry,
		};
		this.workers.set(id, worker);
		this.store.put('keyed.servers', id, worker.entry);
		return worker;
	}

	/** Removes the entry of a worker, as the store does when the worker has left. */
	unlist(id) {
		this.store.put('keyed.servers', id, undefined);
	}

	async startHost(name, options = {}) {
		return this.deployment.startHost(name, this.storeAddress, {
			zone: 'palermo',
			...options,
		});
	}

	async stop() {
		await this.deployment.stop();
		for (const worker of this.workers.values()) {
			worker.stop();
		}

		this.store.stop();
	}
}

/** True unless the case is to run without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Runs a case. It ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
export async function runCase(file, body) {
	const record = new Record(file);
	const setup = new Setup();
	let code = 2;
	process.once('exit', () => {
		setup.deployment.kill();
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			process.exit(2);
		});
	}

	for (const event of ['uncaughtException', 'unhandledRejection']) {
		process.once(event, (error) => {
			record.add(`the case could not run: ${error?.stack ?? error}`);
			process.exit(2);
		});
	}

	const limit = setTimeout(async () => {
		record.add('the case did not end in time');
		await setup.stop();
		process.exit(2);
	}, 110_000);
	try {
		await setup.start();
		const isBroken = await body(setup, record);
		code = isBroken === undefined ? 2 : isBroken ? 1 : 0;
	} catch (error) {
		record.add(`the case could not run: ${error.stack}`);
	}

	await setup.stop();
	clearTimeout(limit);
	record.add(
		['the rule held', 'the rule was broken', 'the case could not run'][code],
	);
	process.exit(code);
}
