/**
 * Maximum number of unseen requests that are balanced against the own ones. With more, a few own
 * requests would outweigh what is known of a server's speed and cache.
 */
const MAX_BALANCED_REQUESTS = 10;

/** Work at one server, as far as this host knows. */
export interface KnownLoad {
  /** Running requests that this host has sent; exact. */
  readonly ownRunning: number;
  /** Running requests of the other hosts, as of their latest heartbeats. */
  readonly peerRunning: number;
  /** Time to prefill the pending prompts of the other hosts, as of their latest heartbeats. */
  readonly peerPrefillMs: number;
  /** Wait that each running request causes. */
  readonly msPerRunning: number;
}

/** How outdated the knowledge of the other hosts' requests is. */
export interface OldView {
  /** Mean age of their latest heartbeats. */
  readonly ageMs: number;
  /** Expected number of requests at the compared servers that they have sent since. */
  readonly unseenRequests: number;
  /** Running requests at the compared servers that they have reported. */
  readonly seenRequests: number;
}

/**
 * Returns what to add to the estimated wait at a server when servers are compared, in ms; often
 * negative.
 *
 * - Servers have gone on with the reported prompts since the report.
 * - Requests end at the rate at which others are sent, so differences between the reported numbers of
 *   running requests fade as unseen requests take the place of those.
 * - Hosts with the same old view choose alike, so the own requests at a server stand for unseen ones
 *   there. Where each host spreads its own requests evenly, all of them do together, however old
 *   their views are.
 */
export function correctOldView(load: KnownLoad, view: OldView): number {
  const drainedMs = Math.min(load.peerPrefillMs, view.ageMs);
  const endedRatio = 1 - Math.exp(-view.unseenRequests / Math.max(1, view.seenRequests));
  const balanced = load.ownRunning * Math.min(MAX_BALANCED_REQUESTS, view.unseenRequests);
  return load.msPerRunning * (balanced - load.peerRunning * endedRatio) - drainedMs;
}
