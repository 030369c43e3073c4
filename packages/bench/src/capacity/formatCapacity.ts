import type { Measurement } from './Measurement.js';

const FRACTION_DIGITS = 2;

/** Renders measurements as a Markdown table. */
export function formatCapacity(measurements: readonly Measurement[]): string {
  const rows = measurements.map(({ subject, unit, per, points, slope, intercept }) => {
    const values = points.map(({ size, value }) => `${size}: ${Math.round(value)}`).join(', ');
    const line = `${slope.toFixed(FRACTION_DIGITS)} | ${intercept.toFixed(0)}`;
    return `| ${subject} | ${unit} | ${values} | ${line} | ${per} |`;
  });
  return [
    '| subject | unit | size: value | slope | intercept | slope per |',
    '| --- | --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}
