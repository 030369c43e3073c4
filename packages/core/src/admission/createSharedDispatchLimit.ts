import type { ServerId } from '../ids/ServerId.js';
import type { ServerView } from '../routing/ServerView.js';
import type { DispatchLimit } from './DispatchLimit.js';

interface ReportState {
  readonly loadAtMs: number;
  /** Requests of this entry host in flight when the report arrived. */
  readonly ownRequests: number;
}

/**
 * Creates the limit that shares a server's reported capacity between the entry hosts of a region.
 * Each host may use an equal part. Places that the other hosts left free in the last report are
 * shared in the same way; requests that waited in the engine are taken off the part, so that work
 * waits in the rank queues, where it can still be ordered.
 *
 * @param entryHostCount entry hosts of the region, this one included
 */
export function createSharedDispatchLimit(entryHostCount: () => number): DispatchLimit {
  const reports = new Map<ServerId, ReportState>();

  function reportOf(server: ServerView): ReportState {
    const known = reports.get(server.entry.serverId);
    if (known?.loadAtMs === server.loadAtMs) {
      return known;
    }
    const state = { loadAtMs: server.loadAtMs, ownRequests: server.ownInFlightRequests };
    reports.set(server.entry.serverId, state);
    return state;
  }

  return (server) => {
    const { load } = server;
    if (load === undefined) {
      return 1;
    }
    const hosts = Math.max(1, entryHostCount());
    const part = load.maxConcurrentRequests / hosts;
    if (load.waitingRequests > 0) {
      return Math.max(1, part - load.waitingRequests / hosts);
    }
    const { ownRequests } = reportOf(server);
    const usedByOthers = Math.max(0, load.runningRequests - ownRequests);
    const unusedByOthers = Math.max(0, load.maxConcurrentRequests - part - usedByOthers);
    return Math.max(1, part + unusedByOthers / hosts);
  };
}
