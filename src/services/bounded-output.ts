import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Options of a bounded output. */
export type BoundedOutputOptions = {
	/** File descriptor to write to. The output does not close it. */
	readonly fileDescriptor: number;
	/** Maximum number of buffered bytes. Lines that exceed it are dropped. */
	readonly maximumBytes: number;
	/** Maximum rate of lines. Lines that exceed it are dropped. */
	readonly linesPerSecond: number;
	/** Returns the monotonic time in milliseconds. */
	readonly now: () => number;
};

/** Stream that writes lines to a file descriptor without applying backpressure. Lines that exceed a limit are dropped and counted. */
export class BoundedOutput extends Writable {
	private readonly bufferedChunks: Buffer[] = [];
	private bufferedBytes = 0;
	private isWriting = false;
	private droppedLineCount = 0;
	private availableLines: number;
	private refilledAt: number;

	constructor(private readonly options: BoundedOutputOptions) {
		super({decodeStrings: true});
		this.availableLines = options.linesPerSecond;
		this.refilledAt = options.now();
	}

	/** Number of lines dropped so far. */
	get droppedLines(): number {
		return this.droppedLineCount;
	}

	override _write(
		chunk: Buffer,
		_encoding: BufferEncoding,
		callback: (error?: Error) => void,
	): void {
		this.refillAvailableLines();
		if (
			this.availableLines < 1 ||
			this.bufferedBytes + chunk.length > this.options.maximumBytes
		) {
			this.droppedLineCount++;
			callback();
			return;
		}

		this.availableLines--;
		this.bufferedChunks.push(chunk);
		this.bufferedBytes += chunk.length;
		this.flush();
		callback();
	}

	private refillAvailableLines(): void {
		const now = this.options.now();
		const {linesPerSecond} = this.options;
		this.availableLines = Math.min(
			linesPerSecond,
			this.availableLines + ((now - this.refilledAt) / 1000) * linesPerSecond,
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
			this.bufferedBytes -= error ? bytes.length : written;
			if (!error && written < bytes.length) {
				this.writeAll(bytes.subarray(written));
				return;
			}

			this.isWriting = false;
			this.flush();
		});
	}
}
