/**
 * Path and query behind the service's name in a request URL, as the caller wrote them. The service
 * name may be percent-encoded in any way, so its length is taken from the URL.
 */
export function servicePathOf(url: string): string {
  return /^\/v1\/services\/[^/?#]+(\/.*)$/s.exec(url)?.[1] ?? '/';
}
