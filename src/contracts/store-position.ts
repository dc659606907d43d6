import {type StorePosition} from './shared-store.js';

/** Offsets of a generation of the store stay below this number, so that a position, as a number, holds both. At 1,000 records a second they reach it after eight years. */
const offsetLimit = 2 ** 38;
/** Largest offset that a position holds. */
export const maximumOffset = offsetLimit - 1;
/** Largest generation whose positions a number represents exactly. */
export const maximumGeneration =
	Math.floor(Number.MAX_SAFE_INTEGER / offsetLimit) - 1;

/** Returns the position of an offset in a generation of the store. Positions of a later generation are greater than all of an earlier one. */
export function toPosition(generation: number, offset: number): StorePosition {
	return generation * offsetLimit + offset;
}

/** Returns the generation of the store in which the position was read. */
export function generationOf(position: StorePosition): number {
	return Math.floor(position / offsetLimit);
}

/** Returns the offset of a position in its generation of the store. */
export function offsetOf(position: StorePosition): number {
	return position % offsetLimit;
}
