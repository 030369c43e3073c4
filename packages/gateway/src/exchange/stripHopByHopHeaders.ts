/** Hop-by-hop headers, which apply to a single connection. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/**
 * Removes hop-by-hop headers: the standard ones, those that the `Connection` header lists, and the
 * body framing, which is set again for each connection.
 *
 * @param rawHeaders alternating names and values
 */
export function stripHopByHopHeaders(rawHeaders: readonly string[]): string[] {
  const pairs = rawHeaders.flatMap((name, index) =>
    index % 2 === 0 ? [[name, rawHeaders[index + 1] ?? ''] as const] : [],
  );
  const listedInConnection = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return pairs
    .filter(
      ([name]) =>
        !HOP_BY_HOP_HEADERS.has(name.toLowerCase()) && !listedInConnection.has(name.toLowerCase()),
    )
    .flat();
}
