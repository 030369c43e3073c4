import type { Clock, RegionId } from '@camphorbarrow/core';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { createLoadTracker } from '../routing/createLoadTracker.js';
import { createOutcomeTracker } from '../routing/createOutcomeTracker.js';
import { createPaceTracker } from '../routing/createPaceTracker.js';
import { createPrefixCacheTracker } from '../routing/createPrefixCacheTracker.js';
import { createServerHealth } from '../routing/createServerHealth.js';
import { createSpeedTracker } from '../routing/createSpeedTracker.js';
import { createUnseenSends } from '../routing/createUnseenSends.js';

export interface ServerEstimatesOptions {
  readonly clock: Clock;
  readonly region: RegionId;
  readonly peers: PeerRegistry;
  readonly view: FleetView;
}

/** What this host estimates of servers from its own requests and the reports of its peers. */
export type ServerEstimates = Pick<
  GatewayContext,
  'loads' | 'unseenSends' | 'speeds' | 'paces' | 'outcomes' | 'health' | 'prefixes'
>;

/** Creates the trackers of servers' loads, speeds, outcomes and caches. */
export function createServerEstimates(options: ServerEstimatesOptions): ServerEstimates {
  const { clock, region, peers, view } = options;
  const regionPeers = (): ReturnType<PeerRegistry['aliveIn']> => peers.aliveIn(region);
  return {
    loads: createLoadTracker(clock, regionPeers),
    unseenSends: createUnseenSends(clock, regionPeers),
    speeds: createSpeedTracker(),
    paces: createPaceTracker(clock, regionPeers),
    outcomes: createOutcomeTracker(clock, regionPeers),
    health: createServerHealth(clock, view.confirmedAtMs),
    prefixes: createPrefixCacheTracker(clock),
  };
}
