/** Size of the blocks that are used again. Below it, blocks double from the first size on, so that a small body costs little. */
const blockBytes = 16_384;
const firstBlockBytes = 256;
/** Blocks that are kept for later bodies. */
const maximumFreeBlocks = 1024;
/** Blocks of bodies that have ended. The garbage collector would free them only after some tens of megabytes of them. */
const freeBlocks: Buffer[] = [];

/**
 * Collects the chunks of a body in blocks, whose number depends on the size of the body and not on the number of its
 * chunks: a buffer costs some hundred bytes besides its content.
 */
export class BodyBuffer {
	private blocks: Buffer[] = [];
	/** Bytes of the last block that are in use. */
	private filled = 0;
	private bytes = 0;

	/** Size of the content. */
	get length(): number {
		return this.bytes;
	}

	/** Adds a copy of a chunk. */
	append(chunk: Uint8Array): void {
		this.bytes += chunk.length;
		for (let from = 0; from < chunk.length;) {
			let block = this.blocks.at(-1);
			if (!block || this.filled === block.length) {
				block = createBlock(
					Math.max(
						block ? block.length * 2 : firstBlockBytes,
						chunk.length - from,
					),
				);
				this.blocks.push(block);
				this.filled = 0;
			}

			const part = chunk.subarray(from, from + block.length - this.filled);
			block.set(part, this.filled);
			this.filled += part.length;
			from += part.length;
		}
	}

	/** Returns the content and forgets it. */
	take(): Buffer {
		const content = Buffer.allocUnsafe(this.bytes);
		let offset = 0;
		for (const block of this.blocks) {
			offset += block.copy(content, offset, 0, this.bytes - offset);
		}

		this.clear();
		return content;
	}

	/** Forgets the content. */
	clear(): void {
		for (const block of this.blocks) {
			if (
				block.length === blockBytes &&
				freeBlocks.length < maximumFreeBlocks
			) {
				freeBlocks.push(block);
			}
		}

		this.blocks = [];
		this.filled = 0;
		this.bytes = 0;
	}
}

function createBlock(size: number): Buffer {
	return size < blockBytes
		? Buffer.allocUnsafe(size)
		: (freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes));
}
