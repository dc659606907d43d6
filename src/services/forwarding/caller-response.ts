import {type ServerResponse} from 'node:http';

/** The answer to one request of a caller. It is written once. */
export class CallerResponse {
	private isStreaming = false;
	private isFinished = false;

	constructor(
		private readonly response: ServerResponse,
		private readonly mustClose: () => boolean,
	) {}

	/** True once the head was sent or the connection is gone. */
	get hasStarted(): boolean {
		return this.isStreaming || this.isFinished;
	}

	get isEnded(): boolean {
		return this.isFinished;
	}

	/** Sends a whole answer. */
	send(
		status: number,
		headers: readonly string[],
		body: Uint8Array | string,
	): void {
		if (this.hasStarted) {
			return;
		}

		this.isFinished = true;
		const length = Buffer.byteLength(body);
		this.response.writeHead(status, [
			...headers,
			'Content-Length',
			String(length),
			...this.closing(),
		]);
		this.response.end(body);
	}

	/** Sends an answer that only the end of the connection ends. It must not look more complete to the caller than to this host. */
	sendUnframed(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
	): void {
		if (this.hasStarted) {
			return;
		}

		this.isFinished = true;
		this.writeUnframedHead(status, headers);
		this.response.end(body);
	}

	/** Sends the head of a stream. */
	startStream(
		status: number,
		headers: readonly string[],
		isFramed: boolean,
	): void {
		if (this.hasStarted) {
			return;
		}

		this.isStreaming = true;
		if (isFramed) {
			this.response.writeHead(status, [...headers, ...this.closing()]);
		} else {
			this.writeUnframedHead(status, headers);
		}

		this.response.flushHeaders();
	}

	/** Sends a part of a stream. */
	write(bytes: Uint8Array): void {
		if (this.isStreaming && !this.isFinished) {
			this.response.write(bytes);
		}
	}

	/** Ends a whole stream. */
	end(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.response.end();
		}
	}

	/** Breaks the connection, so that a stream without its end does not look complete. */
	abort(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.response.destroy();
		}
	}

	private writeUnframedHead(status: number, headers: readonly string[]): void {
		this.response.useChunkedEncodingByDefault = false;
		this.response.writeHead(status, [...headers, 'Connection', 'close']);
	}

	private closing(): string[] {
		return this.mustClose() ? ['Connection', 'close'] : [];
	}
}
