/**
 * Path and query after the service name in a request URL, exactly as the caller sent them. The
 * service name may be percent-encoded in any way, so its length is taken from the URL.
 */
export function servicePathOf(url: string): string {
  return /^\/v1\/services\/[^/?#]+(\/.*)$/s.exec(url)?.[1] ?? '/';
}
