/** Headers that concern one connection only. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * Headers that may travel on: without those of one connection, those that the `Connection` header
 * names, and the framing of the body, which each connection sets anew.
 *
 * @param rawHeaders names and values by turns
 */
export function stripHopByHopHeaders(rawHeaders: readonly string[]): string[] {
  const pairs = rawHeaders.flatMap((name, index) =>
    index % 2 === 0 ? [[name, rawHeaders[index + 1] ?? ''] as const] : [],
  );
  const named = new Set(
    pairs
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.toLowerCase().split(','))
      .map((name) => name.trim()),
  );
  return pairs
    .filter(([name]) => !HOP_HEADERS.has(name.toLowerCase()) && !named.has(name.toLowerCase()))
    .flat();
}
