import { createPartSuspicion } from '@camphorbarrow/core';
import type { Clock, HostId, LogSink, PromptPartKey } from '@camphorbarrow/core';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import { createCrashGuard } from '../limits/createCrashGuard.js';
import { createPartTrials } from '../limits/createPartTrials.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';

export interface CrashLimitsOptions extends Pick<GatewayContext, 'serverLinks'> {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly ownId: HostId;
  readonly peers: PeerRegistry;
  readonly view: FleetView;
}

/** Limits on requests that may crash servers. */
export type CrashLimits = Pick<GatewayContext, 'partSuspicion' | 'crashGuard' | 'partTrials'>;

/** Creates the suspicion of prompt parts, and what it forbids. */
export function createCrashLimits(options: CrashLimitsOptions): CrashLimits {
  const { clock, log, ownId, peers, view, serverLinks } = options;
  const partSuspicion = createPartSuspicion(clock);
  // Hosts that have heard of different peers would each take themselves for the first.
  const hosts = (): readonly HostId[] => [
    ...new Set([
      ownId,
      ...view.hosts().map(({ id }) => id),
      ...peers.alive().map(({ heartbeat }) => heartbeat.host.id),
    ]),
  ];
  const crashGuard = createCrashGuard({
    clock,
    log,
    suspicion: partSuspicion,
    refusesConnections: async (server) => (await serverLinks.check(server)) === 'refused',
  });
  const trialSuspicion = {
    suspectsAmong: (keys: readonly PromptPartKey[]): readonly PromptPartKey[] => [
      ...partSuspicion.suspectsAmong(keys),
      ...keys.filter((key) => crashGuard.quarantineEndMs(key) !== -Infinity),
    ],
    suspectedSinceMs: (key: PromptPartKey): number =>
      Math.max(partSuspicion.suspectedSinceMs(key), crashGuard.quarantineEndMs(key)),
  };
  const partTrials = createPartTrials({ clock, suspicion: trialSuspicion, ownId, hosts });
  return { partSuspicion, crashGuard, partTrials };
}
