import type { Measurement } from './Measurement.js';

/** Fits a line by least squares. With a single point, its value is the intercept. */
export function fitMeasurement(input: Omit<Measurement, 'slope' | 'intercept'>): Measurement {
  const { points } = input;
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const squaredDeviations = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const jointDeviations = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const slope = squaredDeviations === 0 ? 0 : jointDeviations / squaredDeviations;
  return { ...input, slope, intercept: meanValue - slope * meanSize };
}
