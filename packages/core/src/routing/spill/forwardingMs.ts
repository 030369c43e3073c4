/** Initial congestion window of TCP: ten segments. */
const INITIAL_WINDOW_BYTES = 14_600;
/** Assumed bandwidth of the link between two regions that is available to one forwarded body. */
const LINK_BYTES_PER_MS = 20_000;
/** One round trip to connect, and one for the request and the first byte of the response. */
const ROUND_TRIPS_WITHOUT_BODY = 2;

/**
 * Time that forwarding adds to the time to the first token. Forwarding uses a new connection, so a
 * body larger than the initial window needs one more round trip for every doubling of the window.
 */
export function forwardingMs(roundTripMs: number, bodyBytes: number): number {
  const growth = Math.ceil(Math.log2(Math.max(1, bodyBytes / INITIAL_WINDOW_BYTES)));
  return (ROUND_TRIPS_WITHOUT_BODY + growth) * roundTripMs + bodyBytes / LINK_BYTES_PER_MS;
}
