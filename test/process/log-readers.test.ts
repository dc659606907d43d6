import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {closeSync, constants, mkdtempSync, openSync} from 'node:fs';
import {Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createInterface} from 'node:readline';
import {after, before, test} from 'node:test';
import {
	spawnForwarding,
	writeForwardingSettings,
	type TestSettings,
} from './forwarding-host.js';
import {TestProcess, waitUntil} from './processes.js';
import {callServed, ServedFleet} from './served-fleet.js';

const fleet = new ServedFleet();
const started: TestProcess[] = [];
/** Requests whose log lines exceed the 64 KiB of a pipe. */
const requestCount = 250;
/** Pause between requests, which keeps their log lines below the highest rate. */
const pauseMilliseconds = 10;
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

async function serve(port: number, count: number): Promise<void> {
	await waitUntil('the host serves', async () =>
		(await callServed(port)) === 200 ? true : undefined,
	);
	for (let index = 0; index < count; index++) {
		assert.equal(await callServed(port), 200);
		await new Promise((resolve) => {
			setTimeout(resolve, pauseMilliseconds);
		});
	}
}

/** Creates a pipe and returns the descriptors of its two ends. A pipe that Node.js makes for a child is a socket with a larger buffer. */
function createPipe(): {readonly reading: number; readonly writing: number} {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'log-pipe-')), 'pipe');
	execFileSync('mkfifo', [file]);
	const reading = openSync(file, constants.O_NONBLOCK);
	return {reading, writing: openSync(file, 'w')};
}

// Guards against a host that ends or stops serving with its log reader.
test('a host serves and stops when its log reader is gone', async () => {
	const {file, ports} = await writeForwardingSettings('gone', settings);
	const child = spawnForwarding(file);
	child.stdout!.destroy();
	child.stderr!.destroy();
	const host = new TestProcess(child);
	started.push(host);
	await serve(ports.callers!, requestCount);
	host.signal('SIGHUP');
	await serve(ports.callers!, 1);
	host.signal('SIGTERM');
	assert.equal(await host.waitForExit(), 0);
});

// Guards against a host that blocks at a full pipe, or that never ends because lines wait.
test('a host serves and stops in time when nobody reads its log', async () => {
	const {file, ports} = await writeForwardingSettings('unread', settings);
	const {reading, writing} = createPipe();
	const host = new TestProcess(spawnForwarding(file, [writing, writing]));
	started.push(host);
	closeSync(writing);
	await serve(ports.callers!, requestCount);
	const stoppedAt = performance.now();
	host.signal('SIGTERM');
	assert.equal(await host.waitForExit(), 0);
	assert.ok(performance.now() - stoppedAt < 8000);
	closeSync(reading);
});

// Guards against lines that are lost because their reader pauses, and last lines that are lost at the exit.
test('a reader that pauses gets all lines to the last', async () => {
	const {file, ports} = await writeForwardingSettings('paused', settings);
	const {reading, writing} = createPipe();
	const host = new TestProcess(spawnForwarding(file, [writing, 'ignore']));
	started.push(host);
	closeSync(writing);
	await serve(ports.callers!, requestCount);
	const lines: string[] = [];
	createInterface({input: new Socket({fd: reading, writable: false})}).on(
		'line',
		(line) => {
			lines.push(line);
		},
	);
	const countOf = (event: string) =>
		lines.filter((line) => line.includes(`"${event}"`)).length;
	await waitUntil('all answers are logged', () =>
		countOf('request-answered') > requestCount ? true : undefined,
	);
	host.signal('SIGTERM');
	assert.equal(await host.waitForExit(), 0);
	await waitUntil('the last line', () =>
		countOf('process-ending') === 1 ? true : undefined,
	);
	assert.ok(lines.every((line) => line.endsWith('}')));
});

// Guards against a host that ends because its log cannot be written.
test('a host serves and stops when the disk of its log is full', async () => {
	const {file, ports} = await writeForwardingSettings('full', settings);
	const full = openSync('/dev/full', 'w');
	const host = new TestProcess(spawnForwarding(file, [full, full]));
	started.push(host);
	closeSync(full);
	await serve(ports.callers!, 20);
	host.signal('SIGHUP');
	await serve(ports.callers!, 1);
	host.signal('SIGTERM');
	assert.equal(await host.waitForExit(), 0);
});
