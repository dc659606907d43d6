import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {open, readFile, writeFile, rm} from 'node:fs/promises';
import path from 'node:path';
import {after, before, test} from 'node:test';
import {
	spawnForwarding,
	writeForwardingSettings,
	type TestSettings,
} from './forwarding-host.js';
import {TestProcess, waitUntil} from './processes.js';
import {callServed, ServedFleet, statusOf} from './served-fleet.js';

const fleet = new ServedFleet();
const started: TestProcess[] = [];
/** Delays between the first moment at which the process handles signals and a signal. */
const delaysMilliseconds = [0, 20, 50, 100, 150, 200, 300];
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

async function waitUntilServing(
	host: TestProcess,
	ports: Readonly<Record<string, number>>,
): Promise<void> {
	await host.json('readiness', ({message}) => message === 'forwarding-ready');
	await waitUntil('the host serves', async () =>
		(await callServed(ports.callers!)) === 200 ? true : undefined,
	);
}

/** Waits until the kernel reports a handler of SIGHUP. Before, Node.js itself starts. */
async function waitUntilSignalsAreHandled(host: TestProcess): Promise<void> {
	await waitUntil('signals are handled', async () => {
		const status = await readFile(`/proc/${host.child.pid}/status`, 'utf8');
		const caught = BigInt(`0x${/SigCgt:\s*([\da-f]+)/.exec(status)![1]!}`);
		// SIGHUP is the lowest bit.
		return caught % 2n === 1n ? true : undefined;
	});
}

/** Starts a host that waits for the content of its settings, and lets it read them after the action. */
async function startAtSettings(
	action: (host: TestProcess) => void,
): Promise<{host: TestProcess; ports: Readonly<Record<string, number>>}> {
	const {file, ports} = await writeForwardingSettings('at-settings', settings);
	const text = await readFile(file);
	await rm(file);
	execFileSync('mkfifo', [file]);
	const host = start(file);
	// Opening a pipe for writing ends when the host opens it for reading.
	const pipe = await open(file, 'w');
	// A later reading of the settings must not wait for the pipe.
	await rm(file);
	await writeFile(file, text);
	action(host);
	await pause(100);
	await pipe.writeFile(text);
	await pipe.close();
	return {host, ports};
}

// Guards against modules that are loaded before the handlers exist, during which SIGHUP ends the process.
test('the program installs its signal handlers before it loads anything else', async () => {
	const importsOf = async (file: string) =>
		[
			...(
				await readFile(path.join('build/src/program', file), 'utf8')
			).matchAll(/^import (?:.* from )?'(.*)';$/gm),
		].map(([, name]) => name);
	assert.deepEqual(await importsOf('main.js'), [
		'node:process',
		'./process-signals.js',
	]);
	assert.deepEqual(await importsOf('process-signals.js'), ['node:process']);
});

// Guards against a process that a change of its settings or a stray signal ends while it starts.
test('signals before the host exists do not end it, and SIGHUP reads the settings again', async () => {
	const {host, ports} = await startAtSettings((starting) => {
		for (const signal of [
			'SIGHUP',
			'SIGHUP',
			'SIGPIPE',
			'SIGUSR1',
			'SIGUSR2',
		] as const) {
			starting.signal(signal);
		}
	});
	await host.json('the reload', ({message}) => message === 'settings-reloaded');
	await waitUntilServing(host, ports);
	assert.ok(!host.lines.some((line) => line.includes('Debugger')));
});

// Guards against a start whose stop counts as a crash, because the process ends by the signal.
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	test(`${signal} before the host exists ends the process with code 0 before it is ready`, async () => {
		const {host} = await startAtSettings((starting) => {
			starting.signal(signal);
		});
		assert.equal(await host.waitForExit(), 0);
		assert.ok(!host.lines.some((line) => line.includes('forwarding-ready')));
	});
}

// Guards against a moment of the start in which a signal is lost or ends the process.
test('a host serves after SIGHUP at any moment of its start', async () => {
	for (const delay of delaysMilliseconds) {
		const {file, ports} = await writeForwardingSettings(
			`hup-${delay}`,
			settings,
		);
		const host = start(file);
		await waitUntilSignalsAreHandled(host);
		await pause(delay);
		host.signal('SIGHUP');
		host.signal('SIGHUP');
		await host.json(
			`the reload after ${delay} ms`,
			({message}) => message === 'settings-reloaded',
		);
		await waitUntilServing(host, ports);
		await host.kill();
	}
});

// Guards against a moment of the start in which a stop ends without an exit code or does not end.
test('a host ends with code 0 after SIGTERM at any moment of its start', async () => {
	for (const delay of delaysMilliseconds) {
		const {file} = await writeForwardingSettings(`term-${delay}`, settings);
		const host = start(file);
		await waitUntilSignalsAreHandled(host);
		await pause(delay);
		host.signal('SIGTERM');
		assert.equal(await host.waitForExit(), 0, `after ${delay} ms`);
	}
});

// Guards against signals that end a serving host, or open the debugger to every local process.
test('a serving host handles SIGHUP with any settings file, SIGPIPE, SIGUSR1 and SIGUSR2', async () => {
	const {file, ports} = await writeForwardingSettings('serving', settings);
	const text = await readFile(file, 'utf8');
	const host = start(file);
	await waitUntilServing(host, ports);
	const countOf = (event: string) =>
		host.lines.filter((line) => line.includes(`"${event}"`)).length;
	const contents = [text, '', text.slice(0, text.length / 2), undefined];
	for (const [index, content] of contents.entries()) {
		await (content === undefined ? rm(file) : writeFile(file, content));
		host.signal('SIGHUP');
		await waitUntil('the host reads its settings', () =>
			countOf('settings-reloaded') + countOf('settings-rejected') > index
				? true
				: undefined,
		);
	}

	assert.equal(countOf('settings-rejected'), 3);
	for (const signal of ['SIGPIPE', 'SIGUSR1', 'SIGUSR2'] as const) {
		host.signal(signal);
		await host.json(
			`the event of ${signal}`,
			({message, fields}) =>
				message === 'signal-received' && fields.signal === signal,
		);
	}

	assert.equal(await callServed(ports.callers!), 200);
	assert.ok(!host.lines.some((line) => line.includes('Debugger')));
	await host.kill();
});

// Guards against a host that ends because it starts while the platform writes its settings.
test('a host waits for settings that are missing, empty or half written when it starts', async () => {
	for (const [name, portion] of [
		['missing', undefined],
		['empty', 0],
		['half', 0.5],
	] as const) {
		const {file, ports} = await writeForwardingSettings(name, settings);
		const text = await readFile(file, 'utf8');
		await (portion === undefined
			? rm(file)
			: writeFile(file, text.slice(0, text.length * portion)));
		const host = start(file);
		await waitUntil(`the host finds the ${name} settings`, () =>
			host.lines.some((line) => line.includes('are read again'))
				? true
				: undefined,
		);
		await pause(500);
		assert.equal(await statusOf(ports.readiness!, '/ready'), undefined);
		await writeFile(file, text);
		await waitUntilServing(host, ports);
		await host.kill();
	}
});

// Guards against a host that waits for ever for settings that nobody corrects.
test('a host whose settings keep their errors ends with code 3', async () => {
	const {file} = await writeForwardingSettings('wrong', settings);
	await writeFile(file, 'host: wrong\n');
	const host = start(file);
	assert.equal(await host.waitForExit(), 3);
	assert.ok(host.lines.some((line) => line.includes('listen')));
});
