import type { Measurement } from './Measurement.js';

/** Fits a line by least squares; with one point, the value is the intercept. */
export function fitMeasurement(facts: Omit<Measurement, 'slope' | 'intercept'>): Measurement {
  const { points } = facts;
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const joint = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = spread === 0 ? 0 : joint / spread;
  return { ...facts, slope, intercept: meanValue - slope * meanSize };
}
