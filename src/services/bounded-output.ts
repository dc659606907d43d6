import {write} from 'node:fs';
import {Writable} from 'node:stream';
import {wait} from '../base/node/wait.js';

/** Options of a bounded output. */
export type BoundedOutputOptions = {
	/** File descriptor to write to. The output does not close it. */
	readonly fileDescriptor: number;
	/** Maximum number of buffered bytes. Lines that exceed it are dropped. */
	readonly maximumBytes: number;
	/** Maximum rate of lines. Lines that exceed it are dropped. */
	readonly linesPerSecond: number;
	/** Further rate for important lines, so that they are not lost among the others. */
	readonly importantLinesPerSecond: number;
	/** Returns the monotonic time in milliseconds. */
	readonly now: () => number;
};

/** Time after which a write to a full pipe is tried again. */
const fullPipeRetryMilliseconds = 25;

/** Interval of the checks whether all lines are written. */
const drainCheckMilliseconds = 5;

/** Key under which winston passes the formatted line. */
const formattedLine = Symbol.for('message');

/** What winston writes to a stream of objects. */
type LogEntry = {
	readonly level: string;
	readonly [formattedLine]: string;
};

const importantLevels: ReadonlySet<string> = new Set(['warn', 'error']);

/** Stream that writes the lines of a log to a file descriptor without applying backpressure. Lines that exceed a limit are dropped and counted. */
export class BoundedOutput extends Writable {
	private readonly bufferedChunks: Buffer[] = [];
	private bufferedBytes = 0;
	private isWriting = false;
	private droppedLineCount = 0;
	private availableLines: number;
	private availableImportantLines: number;
	private refilledAt: number;

	constructor(private readonly options: BoundedOutputOptions) {
		super({objectMode: true});
		this.availableLines = options.linesPerSecond;
		this.availableImportantLines = options.importantLinesPerSecond;
		this.refilledAt = options.now();
	}

	/** Number of lines dropped so far. */
	get droppedLines(): number {
		return this.droppedLineCount;
	}

	/** Resolves when all lines are written, or after the given time. */
	async drain(maximumMilliseconds: number): Promise<void> {
		const deadline = this.options.now() + maximumMilliseconds;
		while (this.bufferedBytes > 0 && this.options.now() < deadline) {
			await wait(drainCheckMilliseconds);
		}
	}

	override _write(
		{level, [formattedLine]: line}: LogEntry,
		_encoding: BufferEncoding,
		callback: (error?: Error) => void,
	): void {
		this.writeLine(`${line}\n`, importantLevels.has(level));
		callback();
	}

	/** Important lines also draw on the rate that is reserved for them. */
	private writeLine(line: string, isImportant: boolean): void {
		const bytes = Buffer.from(line);
		if (
			this.bufferedBytes + bytes.length > this.options.maximumBytes ||
			!this.takeLine(isImportant)
		) {
			this.droppedLineCount++;
			return;
		}

		this.bufferedChunks.push(bytes);
		this.bufferedBytes += bytes.length;
		this.flush();
	}

	private takeLine(isImportant: boolean): boolean {
		this.refillAvailableLines();
		if (this.availableLines >= 1) {
			this.availableLines--;
			return true;
		}

		if (!isImportant || this.availableImportantLines < 1) {
			return false;
		}

		this.availableImportantLines--;
		return true;
	}

	private refillAvailableLines(): void {
		const now = this.options.now();
		const seconds = (now - this.refilledAt) / 1000;
		const {linesPerSecond, importantLinesPerSecond} = this.options;
		this.availableLines = Math.min(
			linesPerSecond,
			this.availableLines + seconds * linesPerSecond,
		);
		this.availableImportantLines = Math.min(
			importantLinesPerSecond,
			this.availableImportantLines + seconds * importantLinesPerSecond,
		);
		this.refilledAt = now;
	}

	private flush(): void {
		if (this.isWriting || this.bufferedChunks.length === 0) {
			return;
		}

		this.isWriting = true;
		const bytes = Buffer.concat(this.bufferedChunks.splice(0));
		this.writeAll(bytes);
	}

	private writeAll(bytes: Buffer): void {
		// The write runs outside the event loop, so a blocked reader does not block requests.
		write(this.options.fileDescriptor, bytes, (error, written) => {
			// Node.js sets pipes of standard output to non-blocking mode, in which a write to a full pipe fails.
			if (error?.code === 'EAGAIN') {
				setTimeout(() => {
					this.writeAll(bytes);
				}, fullPipeRetryMilliseconds).unref();
				return;
			}

			this.bufferedBytes -= error ? bytes.length : written;
			if (!error && written < bytes.length) {
				this.writeAll(bytes.subarray(written));
				return;
			}

			if (error) {
				this.droppedLineCount +=
					bytes.toString('latin1').split('\n').length - 1;
			}

			this.isWriting = false;
			this.flush();
		});
	}
}
