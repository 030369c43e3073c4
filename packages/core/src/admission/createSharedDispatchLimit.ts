import type { ServerId } from '../ids/ServerId.js';
import type { ServerView } from '../routing/ServerView.js';
import type { DispatchLimit } from './DispatchLimit.js';

interface LastReport {
  readonly loadAtMs: number;
  /** Requests that this entry host had in flight when the report arrived. */
  readonly ownInFlightRequests: number;
}

/**
 * Creates the limit that divides a server's reported capacity between the entry hosts of a region.
 * Each host may use an equal part of the capacity, and an equal part of the slots that the other
 * hosts left unused in the last report. Requests that wait inside the engine reduce the limit, so
 * that requests wait in the rank queues of the entry hosts, where they can still be reordered.
 *
 * @param entryHostCount number of entry hosts in the region, this one included
 */
export function createSharedDispatchLimit(entryHostCount: () => number): DispatchLimit {
  const reports = new Map<ServerId, LastReport>();

  function lastReportOf(server: ServerView): LastReport {
    const known = reports.get(server.entry.serverId);
    if (known?.loadAtMs === server.loadAtMs) {
      return known;
    }
    const report = { loadAtMs: server.loadAtMs, ownInFlightRequests: server.ownInFlightRequests };
    reports.set(server.entry.serverId, report);
    return report;
  }

  return (server) => {
    const { load } = server;
    if (load === undefined) {
      return 1;
    }
    const hosts = Math.max(1, entryHostCount());
    const equalPart = load.maxConcurrentRequests / hosts;
    if (load.waitingRequests > 0) {
      return Math.max(1, equalPart - load.waitingRequests / hosts);
    }
    const { ownInFlightRequests } = lastReportOf(server);
    const usedByOthers = Math.max(0, load.runningRequests - ownInFlightRequests);
    const unusedByOthers = Math.max(0, load.maxConcurrentRequests - equalPart - usedByOthers);
    return Math.max(1, equalPart + unusedByOthers / hosts);
  };
}
