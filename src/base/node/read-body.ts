import {type Readable} from 'node:stream';

/** A body has more bytes than its reader takes. */
export class BodyTooLargeError extends Error {
	override readonly name = 'BodyTooLargeError';
}

/** Reads a body. Closes its connection and fails as soon as it exceeds the limit, so that endless bytes take no memory. */
export async function readBody(
	body: Readable,
	maximumBytes: number,
): Promise<Buffer> {
	const chunks: Buffer[] = [];
	let bytes = 0;
	for await (const chunk of body as AsyncIterable<Buffer>) {
		bytes += chunk.length;
		if (bytes > maximumBytes) {
			// The end of the loop destroys the body, and its connection with it.
			throw new BodyTooLargeError(`the body exceeds ${maximumBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}
