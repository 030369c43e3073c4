import type { RouteChooser } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';

function loadOf(server: ServerView): number {
  const reported = (server.load?.runningRequests ?? 0) + (server.load?.waitingRequests ?? 0);
  return Math.max(reported, server.ownInFlightRequests);
}

/**
 * Baseline: chooses the server with the fewest running and waiting requests, the first on a tie.
 */
export const chooseLeastLoaded: RouteChooser = (_request, candidates) =>
  candidates.reduce<ServerView | undefined>(
    (best, server) => (best === undefined || loadOf(server) < loadOf(best) ? server : best),
    undefined,
  );
