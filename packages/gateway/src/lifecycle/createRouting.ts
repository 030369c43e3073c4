import type { Clock, RandomSource, RegionId } from '@camphorbarrow/core';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import { createOverloadControl } from '../overload/createOverloadControl.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { createBoundRegions } from '../routing/createBoundRegions.js';
import { createContention } from '../routing/createContention.js';
import type { Contention } from '../routing/createContention.js';
import { createLocalChooser } from '../routing/createLocalChooser.js';
import type { LocalChooser } from '../routing/createLocalChooser.js';
import { createRegionChooser } from '../routing/createRegionChooser.js';
import { createRouter } from '../routing/createRouter.js';
import { createServerView } from '../routing/createServerView.js';
import type { ServerView } from '../routing/createServerView.js';
import type { ServerAccess } from './createServerAccess.js';
import type { ServerEstimates } from './createServerEstimates.js';
import type { StreamState } from './createStreamState.js';

export interface RoutingOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly peers: PeerRegistry;
  readonly view: FleetView;
  readonly estimates: ServerEstimates;
  readonly access: ServerAccess;
  readonly isReplaced: StreamState['serverStarts']['isReplaced'];
}

/** Choice of destinations, and the control of overload that it depends on. */
export interface Routing extends Pick<GatewayContext, 'router' | 'overload' | 'controlsOverload'> {
  readonly serverView: ServerView;
  readonly chooseLocal: LocalChooser;
}

/** Creates the router with the choosers among servers and regions. */
export function createRouting(options: RoutingOptions): Routing {
  const { clock, random, region, peers, view, estimates, access, isReplaced } = options;
  const { loads } = estimates;
  const serverView = createServerView({ clock, region, view, isReplaced, ...estimates, ...access });
  const chooseLocal = createLocalChooser({
    random,
    region,
    servers: serverView,
    peers,
    ...estimates,
    ...access,
  });
  const contention = createContention(createBoundRegions(view.table));
  const overload = createOverloadControl(clock, region);
  const controlsOverload = (): boolean => view.table()?.customers !== undefined;
  const contentionMs: Contention = (...query) => (controlsOverload() ? contention(...query) : 0);
  const router = createRouter({
    chooseLocal,
    chooseRegion: createRegionChooser({
      clock,
      random,
      region,
      peers,
      loads,
      contentionMs,
      servers: view.servers.all,
    }),
    loads,
    region,
    contentionMs,
    slotUsageRatio: serverView.slotUsageRatio,
    overload: {
      shedCause: (request) => (controlsOverload() ? overload.shedCause(request) : undefined),
    },
  });
  return { router, overload, controlsOverload, serverView, chooseLocal };
}
