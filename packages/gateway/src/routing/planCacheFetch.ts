import type { Endpoint } from '../model/Endpoint.js';
import type { ServerState } from '../model/ServerState.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';

/** Setup time of a transfer between engines: a round trip within a zone and a memory allocation. */
const SETUP_MS = 10;
/** Slowdown of transfers between zones, as specified by the platform's protocol. */
const OTHER_ZONE_RATIO = 2;
/** Minimum saving, because the transfer may queue behind others that this host does not know of. */
const MIN_GAIN_MS = 10;

/** Prefix of a prompt that a server has cached. */
export interface ServerPrefix {
  readonly server: ServerState;
  /** Number of cached tokens at the start of the prompt. */
  readonly cachedTokens: number;
}

/** Transfer of cached tokens between two servers before the prefill of a prompt. */
export interface CacheFetch {
  readonly from: Endpoint;
  /** Number of tokens at the start of the prompt that are cached after the transfer. */
  readonly cachedTokens: number;
  readonly transferMs: number;
}

export interface CacheFetchQuery {
  /** Server that processes the prompt. */
  readonly target: ServerPrefix;
  /** Server with the most cached tokens of the prompt that the target may fetch from. */
  readonly longest: ServerPrefix;
  /** Time to transfer one token; undefined if the service does not support transfers. */
  readonly transferMsPerToken: number | undefined;
  /** Prefill time of one token on the target. */
  readonly prefillMsPerToken: number;
}

/**
 * Finds the server with the most cached tokens among those of each software version: what one version
 * keeps may not fit another.
 */
export function longestPrefixes(
  candidates: readonly ServerPrefix[],
): ReadonlyMap<SoftwareVersion, ServerPrefix> {
  const longest = new Map<SoftwareVersion, ServerPrefix>();
  candidates.forEach((next) => {
    const { softwareVersion } = next.server.registration;
    if (next.cachedTokens > (longest.get(softwareVersion)?.cachedTokens ?? -1)) {
      longest.set(softwareVersion, next);
    }
  });
  return longest;
}

/** Returns a transfer that saves more prefill time than it takes, or undefined if there is none. */
export function planCacheFetch(query: CacheFetchQuery): CacheFetch | undefined {
  const { target, longest, transferMsPerToken, prefillMsPerToken } = query;
  if (transferMsPerToken === undefined) {
    return undefined;
  }
  const tokens = longest.cachedTokens - target.cachedTokens;
  const isOtherZone = longest.server.registration.zone !== target.server.registration.zone;
  const transferMs = SETUP_MS + tokens * transferMsPerToken * (isOtherZone ? OTHER_ZONE_RATIO : 1);
  return tokens * prefillMsPerToken >= transferMs + MIN_GAIN_MS
    ? { from: longest.server.registration.endpoint, cachedTokens: longest.cachedTokens, transferMs }
    : undefined;
}
