/** A value measured at one size. */
export type Point = {readonly size: number; readonly value: number};

/** A straight line fitted to measured points. */
export type Line = {
	/** Value at size zero. */
	readonly base: number;
	/** Increase of the value per unit of size. */
	readonly slope: number;
	/** Largest distance of a point from the line, as a share of the largest absolute value. */
	readonly deviation: number;
};

/** Fits a line by least squares. The slope is zero with fewer than two distinct sizes. */
export function fitLine(points: readonly Point[]): Line {
	if (points.length === 0) {
		return {base: 0, slope: 0, deviation: 0};
	}

	const meanSize = mean(points.map(({size}) => size));
	const meanValue = mean(points.map(({value}) => value));
	let covariance = 0;
	let variance = 0;
	for (const {size, value} of points) {
		covariance += (size - meanSize) * (value - meanValue);
		variance += (size - meanSize) ** 2;
	}

	const slope = variance === 0 ? 0 : covariance / variance;
	const base = meanValue - slope * meanSize;
	const largest = Math.max(...points.map(({value}) => Math.abs(value)));
	const distance = Math.max(
		...points.map(({size, value}) => Math.abs(value - base - slope * size)),
	);
	return {base, slope, deviation: largest === 0 ? 0 : distance / largest};
}

/** Returns the value of a line at a size, which may lie outside the measured range. */
export function valueAt({base, slope}: Line, size: number): number {
	return base + slope * size;
}

/** Returns true if a size is larger than all measured sizes, so that a value there is extrapolated. */
export function isExtrapolated(
	points: readonly Point[],
	size: number,
): boolean {
	return points.every((point) => point.size < size);
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
