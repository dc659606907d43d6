import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from './consumer.js';
import {Fleet} from './fleet.js';
import {Store} from './store.js';

/** A case runs for this long at most. */
const limitMilliseconds = 115_000;
/** Lines of the record that are printed. */
const printedLines = 12;

/** Exit codes of a script. */
const codes = {held: 0, broken: 1, unable: 2};

/** The case could not run, so that it says nothing of the rule. */
export class UnableError extends Error {
	name = 'UnableError';
}

/** Waits until a condition holds. Fails when it does not in time. */
export async function until(name, condition, milliseconds = 20_000) {
	const end = performance.now() + milliseconds;
	while (!(await condition())) {
		if (performance.now() > end) {
			throw new UnableError(`waited in vain: ${name}`);
		}

		await sleep(10);
	}
}

/** True when the readiness address of a host answers 200. */
export async function isReady(host) {
	const {status} = await send(host.ready, {path: '/ready'});
	return status === 200;
}

/**
 * Runs a case: starts the store, calls `play`, and ends all processes. `play` returns the ways in which the rule was
 * broken. What was sent, answered and run is written to record.txt in the folder of the case.
 */
export async function runCase(folder, play) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const startedAt = performance.now();
	const record = [];
	const log = (event, fields = {}) => {
		const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
		record.push(`${seconds} ${event} ${JSON.stringify(fields)}`);
	};

	const fleet = new Fleet();
	const store = new Store();
	const stops = [];
	const stopAll = async () => {
		for (const stop of stops) {
			await stop();
		}

		await fleet.stop();
		store.stop();
	};

	const end = async (code) => {
		await stopAll();
		log('end', {code});
		await writeFile(path.join(folder, 'record.txt'), `${record.join('\n')}\n`);
		process.stdout.write(`${record.slice(-printedLines).join('\n')}\n`);
		process.exit(code);
	};

	const limit = setTimeout(() => {
		log('too long');
		end(codes.unable);
	}, limitMilliseconds);
	limit.unref();
	log('start', {hasTrouble});
	try {
		await fleet.open();
		const address = await store.start('127.0.0.1');
		const breaks = await play({
			store,
			address,
			fleet,
			hasTrouble,
			log,
			onStop(stop) {
				stops.push(stop);
			},
		});
		for (const text of breaks) {
			log('rule broken', {text});
		}

		await end(breaks.length === 0 ? codes.held : codes.broken);
	} catch (error) {
		log('unable', {error: String(error)});
		for (const {name, lines} of fleet.hosts) {
			log('last lines', {host: name, lines: lines.slice(-8)});
		}

		await end(codes.unable);
	}
}
