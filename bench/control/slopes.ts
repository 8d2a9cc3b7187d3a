/** A least-squares line through points, and the standard error of its slope. */
export type Line = {readonly start: number; readonly slope: number; readonly spread: number};

export type Point = {readonly x: number; readonly y: number};

/** Fits a line to points; `spread` is the standard error of the slope. */
export function fitLine(points: readonly Point[]): Line {
	const count = points.length;
	const meanX = sum(points.map(({x}) => x)) / count;
	const meanY = sum(points.map(({y}) => y)) / count;
	const squaredDeviations = sum(points.map(({x}) => (x - meanX) ** 2));
	const slope = sum(points.map(({x, y}) => (x - meanX) * (y - meanY))) / squaredDeviations;
	const start = meanY - (slope * meanX);
	const squaredResiduals = sum(points.map(({x, y}) => (y - start - (slope * x)) ** 2));
	return {start, slope, spread: Math.sqrt(squaredResiduals / Math.max(count - 2, 1) / squaredDeviations)};
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
