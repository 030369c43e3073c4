import type { ServerView } from '../ServerView.js';
import type { EstimateContext, FirstTokenEstimator } from '../createFirstTokenEstimator.js';
import type { RegionLoadSummary } from './RegionLoadSummary.js';
import { regionLoadLimits } from './regionLoadLimits.js';

export interface RegionLoadInput {
  readonly servers: readonly ServerView[];
  readonly estimator: Pick<FirstTokenEstimator, 'queueMs'>;
  readonly context: Omit<EstimateContext, 'rank'>;
  /** Wait in this entry host's own queue, and beyond the estimates. */
  readonly ownQueueMs: number;
  readonly spilling: boolean;
}

const toCount = (value: number): number =>
  Math.min(regionLoadLimits.maxRequests, Math.max(0, Math.round(value)));

/** Summary of the own region for the heartbeats. */
export function summarizeRegionLoad(facts: RegionLoadInput): RegionLoadSummary {
  const { maxWaitMs } = regionLoadLimits;
  // Engines that have not reported yet promise no capacity to other regions.
  const engines = facts.servers.filter(
    ({ entry, accepting, load }) => accepting && entry.kind === 'engine' && load !== undefined,
  );
  const sum = (pick: (server: ServerView) => number): number =>
    toCount(engines.reduce((total, server) => total + pick(server), 0));
  const queueMs = Math.min(
    // The wait of the rank that waits longer, since one figure stands for both.
    ...engines.map((server) =>
      facts.estimator.queueMs(server, { ...facts.context, rank: 'patient' }),
    ),
  );
  return {
    capacity: sum(({ load }) => load?.maxConcurrentRequests ?? 0),
    inUse: sum(({ load }) => (load?.runningRequests ?? 0) + (load?.waitingRequests ?? 0)),
    firstTokenWaitMs: Math.round(Math.min(maxWaitMs, queueMs + facts.ownQueueMs)),
    spilling: facts.spilling,
  };
}
