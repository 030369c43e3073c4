/** Headers of the project's own between entry hosts; callers' headers of these names are dropped. */
export const relayHeaders = {
  /** Id of the host that passes a request on. */
  relayedBy: 'x-entry-host-relayed-by',
  /** Service that the passing host chose. */
  service: 'x-entry-host-service',
  /** On a refusal: `not-run` or `unknown`. */
  outcome: 'x-entry-host-outcome',
} as const;

const NAMES: ReadonlySet<string> = new Set(Object.values(relayHeaders));

/** The headers without those of the project's own. */
export function stripRelayHeaders(rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => {
    const name = rawHeaders[index - (index % 2)] ?? '';
    return !NAMES.has(name.toLowerCase());
  });
}
