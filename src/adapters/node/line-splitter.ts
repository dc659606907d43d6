import {StringDecoder} from 'node:string_decoder';
import {err, ok, type Result} from 'neverthrow';

/** Splits a byte stream of UTF-8 text into lines. */
export class LineSplitter {
	private readonly decoder = new StringDecoder('utf8');
	private incompleteLine = '';

	/** The limit is the length of an incomplete line, in UTF-16 code units. */
	constructor(private readonly maximumLineLength = 1024 * 1024) {}

	/** Returns the lines that the chunk completes, without empty ones, or an error if the incomplete line exceeds the limit. */
	push(chunk: Uint8Array): Result<string[], Error> {
		const lines = (this.incompleteLine + this.decoder.write(chunk)).split('\n');
		this.incompleteLine = lines.pop() ?? '';
		if (this.incompleteLine.length > this.maximumLineLength) {
			return err(
				new Error(
					`a line of the stream exceeds the maximum length of ${this.maximumLineLength} characters`,
				),
			);
		}

		return ok(lines.filter((line) => line.length > 0));
	}
}
