import type { ServerView } from '../ServerView.js';
import type { EstimateContext, FirstTokenEstimator } from '../createFirstTokenEstimator.js';
import type { RegionLoadSummary } from './RegionLoadSummary.js';
import { regionLoadLimits } from './regionLoadLimits.js';

export interface RegionLoadInput {
  readonly servers: readonly ServerView[];
  readonly estimator: Pick<FirstTokenEstimator, 'queueMs'>;
  readonly context: Omit<EstimateContext, 'rank'>;
  /** Wait in this entry host's own queue plus the correction of the estimates. */
  readonly ownQueueMs: number;
  readonly spilling: boolean;
}

const toCount = (value: number): number =>
  Math.min(regionLoadLimits.maxRequests, Math.max(0, Math.round(value)));

/** Summarizes the load of the own region for the heartbeats. */
export function summarizeRegionLoad(input: RegionLoadInput): RegionLoadSummary {
  const { maxWaitMs } = regionLoadLimits;
  // Engines without a load report offer no capacity to other regions.
  const engines = input.servers.filter(
    ({ entry, accepting, load }) => accepting && entry.kind === 'engine' && load !== undefined,
  );
  const sum = (pick: (server: ServerView) => number): number =>
    toCount(engines.reduce((total, server) => total + pick(server), 0));
  const queueMs = Math.min(
    // One value covers both ranks, so it is the wait of the rank that waits longer.
    ...engines.map((server) =>
      input.estimator.queueMs(server, { ...input.context, rank: 'patient' }),
    ),
  );
  return {
    capacity: sum(({ load }) => load?.maxConcurrentRequests ?? 0),
    inUse: sum(({ load }) => (load?.runningRequests ?? 0) + (load?.waitingRequests ?? 0)),
    firstTokenWaitMs: Math.round(Math.min(maxWaitMs, queueMs + input.ownQueueMs)),
    spilling: input.spilling,
  };
}
