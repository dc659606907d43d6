import {type IncomingMessage} from 'node:http';
import {BodyBuffer} from '../../../base/node/body-buffer.js';
import {type HeldBody} from '../../../core/limits/byte-budget.js';

/** Largest body of a call between hosts, also after it was decompressed. Far above a request with the largest body and all headers. */
export const maximumCallBytes = 33_554_432;

/** Options of a body that is gathered. */
export type GatheredBodyOptions = {
	readonly held: HeldBody | undefined;
	/** Called once for a body that is too large or for which there is no memory. */
	readonly refuse: () => void;
};

/**
 * Lets the RPC library read the body of a message as one chunk. The library copies all that it has whenever a chunk
 * arrives, and holds what arrives without a bound.
 */
export function gatherBody(
	message: IncomingMessage,
	options: GatheredBodyOptions,
): void {
	message[Symbol.asyncIterator] = async function* () {
		yield await readWhole(message, options);
	};
}

async function readWhole(
	message: IncomingMessage,
	{held, refuse}: GatheredBodyOptions,
): Promise<Buffer> {
	const content = new BodyBuffer();
	return new Promise((resolve, reject) => {
		let isRefused = false;
		message.on('data', (chunk: Buffer) => {
			if (isRefused) {
				return;
			}

			if (
				content.length + chunk.length <= maximumCallBytes &&
				held?.tryTake(chunk.length) !== false
			) {
				content.append(chunk);
				return;
			}

			// The library answers nothing as long as the body has no end, so the response is free for the refusal.
			isRefused = true;
			content.clear();
			held?.release();
			refuse();
		});
		message.once('end', () => {
			held?.release();
			if (!isRefused) {
				resolve(content.take());
			}
		});
		message.once('close', () => {
			held?.release();
			content.clear();
			if (!isRefused) {
				reject(Object.assign(new Error('aborted'), {code: 'ECONNRESET'}));
			}
		});
		message.once('error', reject);
	});
}
