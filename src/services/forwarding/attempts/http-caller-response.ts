import {type ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {type ByteBudget} from '../../../core/limits/byte-budget.js';
import {CallerResponse, type OwnResponse} from './caller-response.js';

/** The HTTP response to one request of a caller. */
export class HttpCallerResponse extends CallerResponse {
	private isStreaming = false;
	private isFinished = false;

	constructor(
		private readonly response: ServerResponse,
		private readonly mustClose: () => boolean,
		private readonly budget?: ByteBudget,
	) {
		super();
	}

	get hasStarted(): boolean {
		return this.isStreaming || this.isFinished;
	}

	get isEnded(): boolean {
		return this.isFinished;
	}

	get unsentBytes(): number {
		return this.response.writableLength;
	}

	send(status: number, headers: readonly string[], body: Uint8Array): void {
		if (this.hasStarted) {
			return;
		}

		this.isFinished = true;
		this.response.writeHead(status, [
			...headers,
			'Content-Length',
			String(body.length),
			...this.connectionHeaders(),
		]);
		this.holdUntilSent(body.length);
		this.response.end(body);
	}

	sendUnframed(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
	): void {
		if (this.hasStarted) {
			return;
		}

		this.isFinished = true;
		this.writeHead(status, headers);
		this.holdUntilSent(body.length);
		this.response.end(body);
	}

	sendOwn({status, headers}: OwnResponse): void {
		this.send(status, headers, Buffer.alloc(0));
	}

	startStream(status: number, headers: readonly string[]): void {
		if (this.hasStarted) {
			return;
		}

		this.isStreaming = true;
		this.writeHead(status, headers);
		this.response.flushHeaders();
	}

	write(bytes: Uint8Array): void {
		if (this.isStreaming && !this.isFinished) {
			this.response.write(bytes);
		}
	}

	waitForDrain(callback: () => void): boolean {
		if (this.isFinished || !this.response.writableNeedDrain) {
			return false;
		}

		this.response.once('drain', callback);
		return true;
	}

	end(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.response.end();
		}
	}

	/** Closes the connection without ending the response, so that a truncated stream does not look complete. */
	abort(): void {
		if (this.isFinished) {
			return;
		}

		this.isFinished = true;
		const {chunkedEncoding, socket} = this.response;
		if (!chunkedEncoding && socket instanceof Socket) {
			// A caller of HTTP/1.0 takes the orderly end of the connection for the end of the body.
			socket.resetAndDestroy();
		}

		this.response.destroy();
	}

	/** Counts bytes as held until the caller has read them or left. */
	private holdUntilSent(bytes: number): void {
		const {budget, response} = this;
		if (!budget || bytes === 0 || response.destroyed) {
			return;
		}

		budget.take(bytes);
		response.once('close', () => {
			budget.release(bytes);
		});
	}

	/** Sends the head of a response without a length, which goes in chunks: the missing last one shows a break, also when this process is killed. */
	private writeHead(status: number, headers: readonly string[]): void {
		this.response.writeHead(status, [...headers, ...this.connectionHeaders()]);
	}

	private connectionHeaders(): string[] {
		return this.mustClose() ? ['Connection', 'close'] : [];
	}
}
