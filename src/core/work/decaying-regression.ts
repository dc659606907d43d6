/** Settings of the regression. */
export type DecayingRegressionOptions = {
	/** Lower bound of the weight of a new point. Its inverse is about the number of points that count. */
	readonly minimumStep?: number;
	/** Bounds of the slope. */
	readonly slopeBounds: readonly [number, number];
	/** Distance of a point from the line and of its position from the mean, in standard deviations, beyond which it counts as at this distance. A caller that declares an absurd value would otherwise flatten the line for all. */
	readonly maximumDeviation?: number;
};

/** Points until which deviations are not limited, because the spread is not known yet. */
const unlimitedPoints = 8;

/**
 * Linear regression over the most recent points. Means and second moments around them are moving averages, which do not
 * accumulate rounding errors as running sums do.
 */
export class DecayingRegression {
	private points = 0;
	private meanX = 0;
	private meanY = 0;
	private varianceX = 0;
	private covariance = 0;
	private residual = 0;

	constructor(private readonly options: DecayingRegressionOptions) {}

	/** Number of points so far. */
	get count(): number {
		return this.points;
	}

	/** Slope of the line, within the bounds. */
	get slope(): number {
		const [lowest, highest] = this.options.slopeBounds;
		return this.varianceX <= 0
			? lowest
			: clamp(this.covariance / this.varianceX, lowest, highest);
	}

	/** Mean squared distance of the points from the line as it was when they arrived. */
	get residualVariance(): number {
		return this.residual;
	}

	/** Value of the line at a position. */
	valueAt(x: number): number {
		return this.meanY + this.slope * (x - this.meanX);
	}

	/** Adds a point. */
	add(x: number, y: number): void {
		const {minimumStep = 0.02, maximumDeviation = 4} = this.options;
		this.points++;
		const step = Math.max(minimumStep, 1 / this.points);
		const limitOf = (variance: number) =>
			this.points > unlimitedPoints && variance > 0
				? maximumDeviation * Math.sqrt(variance)
				: Infinity;
		const limitX = limitOf(this.varianceX);
		const fromMeanX = clamp(x - this.meanX, -limitX, limitX);
		const limit = limitOf(this.residual);
		const expected = this.valueAt(this.meanX + fromMeanX);
		const distance = clamp(y - expected, -limit, limit);
		if (this.points > 1) {
			this.residual += step * (distance * distance - this.residual);
		}

		const fromMeanY = expected + distance - this.meanY;
		this.meanX += step * fromMeanX;
		this.meanY += step * fromMeanY;
		this.varianceX = (1 - step) * (this.varianceX + step * fromMeanX ** 2);
		this.covariance =
			(1 - step) * (this.covariance + step * fromMeanX * fromMeanY);
	}
}

function clamp(value: number, lowest: number, highest: number): number {
	return Math.min(highest, Math.max(lowest, value));
}
