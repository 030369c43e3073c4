/** Version in an entry host's log line about an adopted configuration; undefined in other lines. */
export function parseConfigVersion(line: string): number | undefined {
  if (!line.includes('configuration-adopted')) {
    return undefined;
  }
  const { version } = JSON.parse(line) as { version?: number };
  return version;
}
