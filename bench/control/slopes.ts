/** A line through points by least squares, and how far off the points are from it. */
export type Line = {readonly start: number; readonly slope: number; readonly spread: number};

export type Point = {readonly x: number; readonly y: number};

/** Fits a line; `spread` is the standard error of the slope. */
export function fitLine(points: readonly Point[]): Line {
	const count = points.length;
	const meanX = sum(points.map(({x}) => x)) / count;
	const meanY = sum(points.map(({y}) => y)) / count;
	const across = sum(points.map(({x}) => (x - meanX) ** 2));
	const slope = sum(points.map(({x, y}) => (x - meanX) * (y - meanY))) / across;
	const start = meanY - (slope * meanX);
	const residue = sum(points.map(({x, y}) => (y - start - (slope * x)) ** 2));
	return {start, slope, spread: Math.sqrt(residue / Math.max(count - 2, 1) / across)};
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
