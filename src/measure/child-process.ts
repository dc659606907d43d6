import {spawn, type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A program of this project that runs in a process of its own during a measurement. */
export class MeasuredProcess {
	/** Starts a compiled program with arguments. */
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

	get processId(): number | undefined {
		return this.child.pid;
	}

	/** Waits for a line of JSON that passes a check. */
	async jsonLine(
		check: (value: Record<string, unknown>) => boolean,
	): Promise<Record<string, unknown>> {
		const deadline = performance.now() + startLimitMilliseconds;
		while (performance.now() < deadline) {
			for (const line of this.lines) {
				const value = parseLine(line);
				if (value && check(value)) {
					return value;
				}
			}

			await new Promise((resolve) => {
				setTimeout(resolve, pollMilliseconds);
			});
		}

		throw new Error(`the process did not start: ${this.lines.join('\n')}`);
	}

	/** Ends the process. */
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

const startLimitMilliseconds = 20_000;
const pollMilliseconds = 20;

function parseLine(line: string): Record<string, unknown> | undefined {
	try {
		return JSON.parse(line) as Record<string, unknown>;
	} catch {
		return undefined;
	}
}
