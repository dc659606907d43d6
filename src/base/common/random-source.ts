import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers for decisions. Handed in, so that runs repeat for a seed. */
export abstract class RandomSource {
	/** An integer in [0, bound). */
	integer(bound: number): number {
		return Math.floor(this.next() * bound);
	}

	/** A number in [0, 1). */
	abstract next(): number;
}

/** A repeatable random source. */
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
