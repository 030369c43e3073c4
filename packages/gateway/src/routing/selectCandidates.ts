import type { RandomSource } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import { topByRendezvous } from './rankByRendezvous.js';

/** Minimum number of servers that are compared, so that one busy server can be avoided. */
const MIN_CANDIDATES = 3;

export interface CandidateQuery {
  /** Servers that can receive the request. */
  readonly servers: readonly ServerState[];
  /** Id of the shared prefix that all hosts should send to the same servers; undefined for none. */
  readonly prefixId: string | undefined;
  /** Number of heartbeat rounds in which every other host of the region is heard of once. */
  readonly reportRounds: number;
  readonly random: RandomSource;
}

/**
 * Returns the servers among which a request chooses. All hosts of a region see nearly the same loads,
 * as old as it takes to hear of every host. In a large region all of them would choose the server
 * that looked best until its new load is known, so the fewer servers are compared, the longer that
 * takes: different ones for each shared prefix, or for each request without one.
 */
export function selectCandidates(query: CandidateQuery): readonly ServerState[] {
  const { servers, prefixId, reportRounds, random } = query;
  const count = Math.max(MIN_CANDIDATES, Math.ceil(servers.length / Math.max(1, reportRounds)));
  if (count >= servers.length) {
    return servers;
  }
  const key = prefixId ?? String(random.next());
  return topByRendezvous(key, servers, ({ registration }) => registration.id, count);
}
