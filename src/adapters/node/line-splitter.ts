import {StringDecoder} from 'node:string_decoder';
import {err, ok, type Result} from 'neverthrow';

/** Cuts a byte stream into lines of text. */
export class LineSplitter {
	private readonly decoder = new StringDecoder('utf8');
	private rest = '';

	constructor(private readonly maximumLineLength = 1024 * 1024) {}

	/** Returns the lines that a chunk completes. Empty lines are left out. */
	push(chunk: Uint8Array): Result<string[], Error> {
		const lines = (this.rest + this.decoder.write(chunk)).split('\n');
		this.rest = lines.pop() ?? '';
		if (this.rest.length > this.maximumLineLength) {
			return err(new Error('a line of the stream is too long'));
		}

		return ok(lines.filter((line) => line.length > 0));
	}
}
