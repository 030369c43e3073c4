import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { createEndChecks } from '../streams/createEndChecks.js';
import { createRouteMoves } from '../streams/createRouteMoves.js';
import { createServerClaims } from '../streams/createServerClaims.js';
import { createServerStarts } from '../streams/createServerStarts.js';
import { createStreamVersions } from '../streams/createStreamVersions.js';
import { tryConnect } from '../upstream/tryConnect.js';
import type { ServerAccessParts } from './createServerAccess.js';
import type { EntryHostOptions } from './EntryHostOptions.js';

export interface StreamStateOptions
  extends
    Pick<EntryHostOptions, 'clock' | 'log' | 'metrics' | 'own' | 'bounds' | 'createServerReports'>,
    ServerAccessParts {
  readonly peers: PeerRegistry;
  readonly view: FleetView;
}

/** What this host knows of the processes that write streams, and of those that began them. */
export type StreamState = Pick<
  GatewayContext,
  'serverStarts' | 'serverClaims' | 'endChecks' | 'streamVersions' | 'routeMoves'
>;

/** Creates the state by which streams go on only at the version and service that began them. */
export function createStreamState(options: StreamStateOptions): StreamState {
  const { clock, log, metrics, own, bounds, access, takeTurn, peers, view } = options;
  const serverStarts = createServerStarts({
    clock,
    log,
    region: own.region,
    reports: options.createServerReports(access.serverConnections),
    mayAsk: access.mayCallServer,
    takeTurn,
  });
  const serverClaims = createServerClaims({
    clock,
    log,
    metrics,
    view,
    starts: serverStarts,
    heartbeatMs: () => bounds().serverHeartbeatMs,
  });
  const streamVersions = createStreamVersions({
    clock,
    log,
    metrics,
    ownId: own.id,
    ownRegion: own.region,
    claims: serverClaims,
    view,
    peers,
  });
  return {
    serverStarts,
    serverClaims,
    endChecks: createEndChecks({
      clock,
      log,
      metrics,
      starts: serverStarts,
      claims: serverClaims,
      connect: tryConnect,
    }),
    streamVersions,
    routeMoves: createRouteMoves(clock, view),
  };
}
