import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A compiled program of this project that runs in a child process during a measurement. */
export class MeasuredProcess {
	/** Starts the compiled program in a file with command-line arguments. */
	static start(file: string, args: readonly string[]): MeasuredProcess {
		return new MeasuredProcess(
			spawn(process.execPath, [file, ...args], {
				stdio: ['ignore', 'pipe', 'pipe'],
			}),
		);
	}

	private readonly lines: string[] = [];

	private constructor(private readonly child: ChildProcess) {
		for (const stream of [child.stdout, child.stderr]) {
			if (stream) {
				createInterface({input: stream}).on('line', (line) => {
					this.lines.push(line);
				});
			}
		}
	}

	/** Process identifier, or undefined if the process could not be spawned. */
	get processId(): number | undefined {
		return this.child.pid;
	}

	/**
	 * Waits for a line of JSON on standard output or standard error that passes a check. Earlier lines count too.
	 * Throws if none appears within 20 s.
	 */
	async jsonLine(
		check: (value: Record<string, unknown>) => boolean,
	): Promise<Record<string, unknown>> {
		const deadline = performance.now() + startTimeoutMilliseconds;
		while (performance.now() < deadline) {
			for (const line of this.lines) {
				const value = parseLine(line);
				if (value && check(value)) {
					return value;
				}
			}

			await new Promise((resolve) => {
				setTimeout(resolve, pollIntervalMilliseconds);
			});
		}

		throw new Error(
			`The process printed no expected line of JSON within ${startTimeoutMilliseconds} ms. Its output: ${this.lines.join('\n')}`,
		);
	}

	/** Kills the process with SIGKILL and waits for its exit. Does nothing if it has already exited with a code. */
	async stop(): Promise<void> {
		if (this.child.exitCode !== null) {
			return;
		}

		await new Promise<void>((resolve) => {
			this.child.once('exit', () => {
				resolve();
			});
			this.child.kill('SIGKILL');
		});
	}
}

const startTimeoutMilliseconds = 20_000;
const pollIntervalMilliseconds = 20;

/** Parses a line as JSON. Returns undefined for other output. */
function parseLine(line: string): Record<string, unknown> | undefined {
	try {
		return JSON.parse(line) as Record<string, unknown>;
	} catch {
		return undefined;
	}
}
