import { filterHeaders } from './filterHeaders.js';

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

const CONNECTION = 'connection';

/** Names of the headers that `Connection` headers list. */
function listedInConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
  const listed = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (name.length === CONNECTION.length && name.toLowerCase() === CONNECTION) {
      const names = (rawHeaders[index + 1] ?? '').toLowerCase().split(',');
      names.forEach((each) => listed.add(each.trim()));
    }
  }
  return listed;
}

/**
 * Removes hop-by-hop headers: the standard ones, those that the `Connection` header lists, and the
 * body framing, which is set again for each connection.
 *
 * @param rawHeaders alternating names and values
 */
export function stripHopByHopHeaders(rawHeaders: readonly string[]): string[] {
  const listed = listedInConnection(rawHeaders);
  return filterHeaders(rawHeaders, (name) => !HOP_BY_HOP_HEADERS.has(name) && !listed.has(name));
}
