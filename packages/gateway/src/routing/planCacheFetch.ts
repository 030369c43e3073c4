import type { Endpoint } from '../model/Endpoint.js';
import type { ServerState } from '../model/ServerState.js';

/** Time to set up one transfer between engines: a round trip in a zone and the grant of memory. */
const SETUP_MS = 10;
/** Transfers between zones take this many times as long, as the platform's protocol says. */
const OTHER_ZONE_RATIO = 2;
/** Least saving: other transfers may go before this one, of which nothing is known here. */
const MIN_GAIN_MS = 10;

/** What one server keeps of a prompt. */
export interface ServerPrefix {
  readonly server: ServerState;
  /** Tokens at the start of the prompt. */
  readonly cachedTokens: number;
}

/** Transfer of cached tokens between two servers before a prompt is read. */
export interface CacheFetch {
  readonly from: Endpoint;
  /** Tokens at the start of the prompt that are cached after the transfer. */
  readonly cachedTokens: number;
  readonly transferMs: number;
}

export interface CacheFetchQuery {
  /** The server that reads the prompt. */
  readonly own: ServerPrefix;
  /** What the servers of the region keep. */
  readonly holdings: readonly ServerPrefix[];
  /** Time to transfer a token; undefined when the service's servers cannot. */
  readonly transferMsPerToken: number | undefined;
  /** Time in which the server reads a token. */
  readonly readMsPerToken: number;
}

/** The transfer that saves a server more reading time than it takes; undefined for none. */
export function planCacheFetch(query: CacheFetchQuery): CacheFetch | undefined {
  const { own, holdings, transferMsPerToken, readMsPerToken } = query;
  if (transferMsPerToken === undefined) {
    return undefined;
  }
  const best = holdings.reduce((a, b) => (b.cachedTokens > a.cachedTokens ? b : a), own);
  const tokens = best.cachedTokens - own.cachedTokens;
  const isOtherZone = best.server.registration.zone !== own.server.registration.zone;
  const transferMs = SETUP_MS + tokens * transferMsPerToken * (isOtherZone ? OTHER_ZONE_RATIO : 1);
  return tokens * readMsPerToken >= transferMs + MIN_GAIN_MS
    ? { from: best.server.registration.endpoint, cachedTokens: best.cachedTokens, transferMs }
    : undefined;
}
