import {write} from 'node:fs';
import {Writable} from 'node:stream';

/** Options of the output. */
export type BoundedOutputOptions = {
	readonly fileDescriptor: number;
	/** Bytes that wait for the reader. Lines beyond are dropped. */
	readonly maximumBytes: number;
	/** Lines in a second. Lines beyond are dropped. */
	readonly linesPerSecond: number;
	readonly now: () => number;
};

/** Writes lines without ever waiting for the reader. What does not fit is dropped and counted. */
export class BoundedOutput extends Writable {
	private readonly waiting: Buffer[] = [];
	private waitingBytes = 0;
	private isWriting = false;
	private dropped = 0;
	private linesLeft: number;
	private refilledAt: number;

	constructor(private readonly options: BoundedOutputOptions) {
		super({decodeStrings: true});
		this.linesLeft = options.linesPerSecond;
		this.refilledAt = options.now();
	}

	/** Lines dropped so far. */
	get droppedLines(): number {
		return this.dropped;
	}

	override _write(
		chunk: Buffer,
		_encoding: BufferEncoding,
		callback: (error?: Error) => void,
	): void {
		this.refill();
		if (
			this.linesLeft < 1 ||
			this.waitingBytes + chunk.length > this.options.maximumBytes
		) {
			this.dropped++;
			callback();
			return;
		}

		this.linesLeft--;
		this.waiting.push(chunk);
		this.waitingBytes += chunk.length;
		this.flush();
		callback();
	}

	private refill(): void {
		const now = this.options.now();
		const {linesPerSecond} = this.options;
		this.linesLeft = Math.min(
			linesPerSecond,
			this.linesLeft + ((now - this.refilledAt) / 1000) * linesPerSecond,
		);
		this.refilledAt = now;
	}

	private flush(): void {
		if (this.isWriting || this.waiting.length === 0) {
			return;
		}

		this.isWriting = true;
		const bytes = Buffer.concat(this.waiting.splice(0));
		this.writeAll(bytes);
	}

	private writeAll(bytes: Buffer): void {
		// The file system call runs beside the event loop, so a reader that stands still blocks no request.
		write(this.options.fileDescriptor, bytes, (error, written) => {
			this.waitingBytes -= error ? bytes.length : written;
			if (!error && written < bytes.length) {
				this.writeAll(bytes.subarray(written));
				return;
			}

			this.isWriting = false;
			this.flush();
		});
	}
}
