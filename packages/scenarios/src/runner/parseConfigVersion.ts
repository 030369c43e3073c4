/** Version in a log line with which an entry host reports a new configuration. */
export function parseConfigVersion(line: string): number | undefined {
  if (!line.includes('configuration-adopted')) {
    return undefined;
  }
  const { version } = JSON.parse(line) as { version?: number };
  return version;
}
