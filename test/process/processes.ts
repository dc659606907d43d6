import {spawn, type ChildProcess} from 'node:child_process';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {request, type Dispatcher} from 'undici';
import {stringify} from 'yaml';

/** Default timeout for a condition in a process test. It is long because CI machines can be under load. */
const conditionTimeoutMilliseconds = 30_000;

const programPath = path.resolve('build/src/program/main.js');
const standInPath = path.resolve('build/src/stand-ins/stand-in-main.js');

/** Polls a condition until it returns a value other than undefined and false. Throws after the timeout. */
export async function waitUntil<T>(
	description: string,
	condition: () => Promise<T | undefined> | T | undefined,
	timeoutMilliseconds = conditionTimeoutMilliseconds,
): Promise<T> {
	const started = performance.now();
	for (;;) {
		const value = await condition();
		if (value !== undefined && value !== false) {
			return value;
		}

		if (performance.now() - started > timeoutMilliseconds) {
			throw new Error(
				`The condition was not met within ${timeoutMilliseconds} ms: ${description}`,
			);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}
}

/** A child process of a test with the lines that it wrote to its standard output and error. */
export class TestProcess {
	readonly lines: string[] = [];
	exitCode: number | undefined;

	constructor(readonly child: ChildProcess) {
		for (const stream of [child.stdout, child.stderr]) {
			if (stream) {
				createInterface({input: stream}).on('line', (line) => {
					this.lines.push(line);
				});
			}
		}

		child.once('exit', (code) => {
			this.exitCode = code ?? -1;
		});
	}

	/** Waits for a line of JSON that satisfies a predicate. Throws when the process exits before. */
	async json(
		description: string,
		predicate: (value: Record<string, any>) => boolean,
	): Promise<Record<string, any>> {
		return waitUntil(description, () => {
			for (const line of this.lines) {
				const value = tryParseJson(line);
				if (value && predicate(value)) {
					return value;
				}
			}

			if (this.exitCode !== undefined) {
				throw new Error(
					`The process exited before ${description}:\n${this.lines.join('\n')}`,
				);
			}

			return undefined;
		});
	}

	/** Sends a signal to the process. */
	signal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Kills the process and waits until it has exited. */
	async kill(): Promise<void> {
		this.child.kill('SIGKILL');
		await this.waitForExit();
	}

	/** Waits until the process has exited. Returns its exit code, or -1 after a signal. */
	async waitForExit(): Promise<number> {
		return waitUntil('the process exits', () => this.exitCode);
	}
}

/** Lets a process run for a part of each period only, as a small machine does. The parts may change. Returns a function that ends this. */
export function slowDown(
	host: TestProcess,
	pace: {runMilliseconds: number; readonly pauseMilliseconds: number},
): () => void {
	let timer: NodeJS.Timeout;
	const pause = () => {
		host.signal('SIGSTOP');
		timer = setTimeout(run, pace.pauseMilliseconds);
	};

	const run = () => {
		host.signal('SIGCONT');
		timer = setTimeout(pause, pace.runMilliseconds);
	};

	pause();
	return () => {
		clearTimeout(timer);
		host.signal('SIGCONT');
	};
}

/** Returns the largest resident memory that a process has had. */
export function peakMegabytes({child}: TestProcess): number {
	const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
	return (Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) * 1024) / 1_000_000;
}

/** Returns the memory that counts towards that of the machine: what is resident, and what its connections have received and not read. */
export function countedMegabytes({child}: TestProcess): number {
	const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
	const residentBytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) * 1024;
	const inodes = new Set(descriptorTargets(child.pid!));
	const [, ...connections] = readFileSync(
		`/proc/${child.pid}/net/tcp`,
		'utf8',
	).split('\n');
	let unreadBytes = 0;
	for (const connection of connections) {
		// The columns are documented in proc(5): local, remote, state, queues to send and to read, then others and the inode.
		const columns = connection.trim().split(/\s+/);
		const [state, queues, inode] = [columns[3], columns[4], columns[9]];
		// A listening socket counts connections there instead of bytes.
		if (state !== '0A' && inodes.has(`socket:[${inode}]`)) {
			unreadBytes += Number.parseInt(queues!.split(':')[1]!, 16);
		}
	}

	return (residentBytes + unreadBytes) / 1_000_000;
}

/** Returns the number of open descriptors of a process. */
export function descriptorCount({child}: TestProcess): number {
	return readdirSync(`/proc/${child.pid}/fd`).length;
}

/** Returns the processor time that a process has used. */
export function processorMilliseconds({child}: TestProcess): number {
	const text = readFileSync(`/proc/${child.pid}/stat`, 'utf8');
	// The name of the program, in parentheses, may contain spaces. The times are in ticks of 10 ms.
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) * 10;
}

function descriptorTargets(pid: number): string[] {
	return readdirSync(`/proc/${pid}/fd`).flatMap((name) => {
		try {
			return [readlinkSync(`/proc/${pid}/fd/${name}`)];
		} catch {
			// The descriptor was closed meanwhile.
			return [];
		}
	});
}

/** A stand-in that runs in its own process. */
export type TestStandIn = {
	readonly process: TestProcess;
	readonly address: string;
};

/** A host that runs in its own process, with the base URLs of its listeners. */
export type TestHost = {
	readonly name: string;
	readonly process: TestProcess;
	readonly callers: string;
	readonly operators: string;
	readonly peers: string;
};

/** Starts stand-ins and hosts as processes and kills them when disposed. */
export class TestFleet {
	private readonly processes: TestProcess[] = [];

	/** Starts a stand-in and waits until it listens. */
	async standIn(
		kind: string,
		options: Record<string, unknown> = {},
	): Promise<TestStandIn> {
		const child = this.start(standInPath, [
			'--kind',
			kind,
			'--options',
			JSON.stringify(options),
		]);
		const started = await child.json(`the start of ${kind}`, (value) =>
			Boolean(value.address),
		);
		return {process: child, address: String(started.address)};
	}

	/** Starts a host with its settings in a temporary file and waits until it has started. */
	async host(
		name: string,
		settings: unknown,
		programFile = programPath,
	): Promise<TestHost> {
		const folder = await mkdtemp(path.join(tmpdir(), 'daisylever-test-'));
		const file = path.join(folder, 'settings.yaml');
		await writeFile(file, stringify(settings));
		const child = this.start(programFile, ['run', '--settings', file]);
		const started = await child.json(
			`the start of ${name}`,
			(value) => value.message === 'host-started',
		);
		const ports = started.fields as Record<string, number>;
		return {
			name,
			process: child,
			callers: `http://127.0.0.1:${ports.callers}`,
			operators: `http://127.0.0.1:${ports.operators}`,
			peers: `http://127.0.0.1:${ports.peers}`,
		};
	}

	/** Kills all processes that still run and waits until they have exited. */
	async dispose(): Promise<void> {
		for (const child of this.processes) {
			if (child.exitCode === undefined) {
				child.child.kill('SIGKILL');
			}
		}

		await Promise.all(this.processes.map(async (child) => child.waitForExit()));
	}

	private start(file: string, args: readonly string[]): TestProcess {
		const child = new TestProcess(
			spawn(process.execPath, ['--enable-source-maps', file, ...args], {
				stdio: ['ignore', 'pipe', 'pipe'],
			}),
		);
		this.processes.push(child);
		return child;
	}
}

/** Sends a JSON request and reads the whole response. `json` is undefined when the body is not JSON. */
export async function send(
	method: 'GET' | 'POST' | 'PUT',
	url: string,
	options: {
		readonly key?: string;
		readonly body?: unknown;
		readonly headers?: Record<string, string>;
		readonly dispatcher?: Dispatcher | undefined;
	} = {},
): Promise<{status: number; text: string; json: any}> {
	const response = await request(url, {
		...(options.dispatcher ? {dispatcher: options.dispatcher} : {}),
		method,
		headers: {
			...(options.key ? {authorization: `Bearer ${options.key}`} : {}),
			...(options.body === undefined
				? {}
				: {'content-type': 'application/json'}),
			...options.headers,
		},
		body: options.body === undefined ? null : JSON.stringify(options.body),
	});
	const text = await response.body.text();
	return {status: response.statusCode, text, json: tryParseJson(text)};
}

function tryParseJson(text: string): any {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
