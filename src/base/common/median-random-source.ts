import {RandomSource} from './random-source.js';

/** Yields the median of a random number, for answers about decisions that must not draw one. */
export class MedianRandomSource extends RandomSource {
	next(): number {
		return 0.5;
	}
}
