import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers. Components receive it as a dependency, so that a run can be repeated with the same seed. */
export abstract class RandomSource {
	/** Returns an integer in [0, bound). */
	integer(bound: number): number {
		return Math.floor(this.next() * bound);
	}

	/** Returns a number in [0, 1). */
	abstract next(): number;
}

/** A random source that yields the same numbers for the same seed. */
export class SeededRandomSource extends RandomSource {
	private readonly generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		super();
		this.generator = xoroshiro128plus(seed);
	}

	next(): number {
		return uniformFloat64(this.generator);
	}
}
