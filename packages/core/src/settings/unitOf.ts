const UNITS: readonly (readonly [suffix: string, unit: string])[] = [
  ['Ms', 'milliseconds'],
  ['PerSecond', 'per second'],
  ['Seconds', 'seconds'],
  ['Bytes', 'bytes'],
  ['Tokens', 'tokens'],
  ['Requests', 'requests'],
  ['Calls', 'calls'],
  ['Attempts', 'attempts'],
  ['Ratio', 'fraction'],
];

/** Unit of a field, derived from the suffix of its name; undefined when it has none. */
export function unitOf(fieldName: string): string | undefined {
  return UNITS.find(([suffix]) => fieldName.endsWith(suffix))?.[1];
}
