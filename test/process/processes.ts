import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {request, type Dispatcher} from 'undici';
import {stringify} from 'yaml';

/** Longest time for a condition in a process test. Generous, since CI machines can be busy. */
const deadlineMilliseconds = 30_000;

const programPath = path.resolve('build/src/program/main.js');
const standInPath = path.resolve('build/src/stand-ins/stand-in-main.js');

/** Waits until a condition gives a value. */
export async function waitUntil<T>(
	what: string,
	condition: () => Promise<T | undefined> | T | undefined,
	limit = deadlineMilliseconds,
): Promise<T> {
	const started = performance.now();
	for (;;) {
		const value = await condition();
		if (value !== undefined && value !== false) {
			return value;
		}

		if (performance.now() - started > limit) {
			throw new Error(`not within ${limit} ms: ${what}`);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}
}

/** A process of the test. */
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

	/** Finds a line of JSON that passes a check. */
	async json(
		what: string,
		check: (value: Record<string, any>) => boolean,
	): Promise<Record<string, any>> {
		return waitUntil(what, () => {
			for (const line of this.lines) {
				const value = parse(line);
				if (value && check(value)) {
					return value;
				}
			}

			if (this.exitCode !== undefined) {
				throw new Error(
					`the process ended before ${what}:\n${this.lines.join('\n')}`,
				);
			}

			return undefined;
		});
	}

	signal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Kills the process and waits for its end. */
	async kill(): Promise<void> {
		this.child.kill('SIGKILL');
		await this.waitForExit();
	}

	async waitForExit(): Promise<number> {
		return waitUntil('the end of a process', () => this.exitCode);
	}
}

/** A stand-in in a process of its own. */
export type TestStandIn = {
	readonly process: TestProcess;
	readonly address: string;
};

/** A host in a process of its own. */
export type TestHost = {
	readonly name: string;
	readonly process: TestProcess;
	readonly callers: string;
	readonly operators: string;
	readonly peers: string;
};

/** Starts processes and ends them all. */
export class TestFleet {
	private readonly processes: TestProcess[] = [];

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

	async host(name: string, settings: unknown): Promise<TestHost> {
		const folder = await mkdtemp(path.join(tmpdir(), 'daisylever-test-'));
		const file = path.join(folder, 'settings.yaml');
		await writeFile(file, stringify(settings));
		const child = this.start(programPath, ['run', '--settings', file]);
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

/** Sends a JSON request and reads the whole answer. */
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
	const answer = await request(url, {
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
	const text = await answer.body.text();
	return {status: answer.statusCode, text, json: parse(text)};
}

function parse(line: string): any {
	try {
		return JSON.parse(line) as unknown;
	} catch {
		return undefined;
	}
}
