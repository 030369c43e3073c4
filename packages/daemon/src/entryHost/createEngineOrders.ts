import { createHttpEngineOrderClient, createHttpWeightStore } from '@camphorbarrow/adapters';
import { createEngineReconciler, createEngineOwnership } from '@camphorbarrow/core';
import type { DesiredModel } from '@camphorbarrow/core';
import type { HostContext } from './HostContext.js';
import type { RegionComponents } from './createRegionComponents.js';

export interface EngineOrders {
  start(): void;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1_000;

/** Creates the sender of engine orders; it sends none when the settings name no weight store. */
export function createEngineOrders(context: HostContext, region: RegionComponents): EngineOrders {
  const { settings, clock, hostId, incarnation, regionId, ports } = context;
  if (settings.weightStore === undefined) {
    return { start: () => undefined, close: () => Promise.resolve() };
  }
  const localAddress = settings.outgoingAddress;
  const client = createHttpEngineOrderClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    localAddress,
  });
  const weightStore = createHttpWeightStore({ ...settings.weightStore, localAddress });

  /** Models for which the fleet defaults name weights; other models are left unchanged. */
  function desired(): readonly DesiredModel[] {
    const models = region.config.document()?.defaults.models ?? {};
    return Object.entries(models).flatMap(([model, { weights, serversPerRegion }]) =>
      weights === undefined ? [] : [{ model, weights, servers: serversPerRegion }],
    );
  }

  const reconciler = createEngineReconciler({
    clock,
    log: ports.log,
    ownership: createEngineOwnership({ clock, store: ports.store, hostId, incarnation, regionId }),
    client,
    weightStore,
    engines: () =>
      region.registry
        .servers()
        .filter(({ entry, accepting }) => accepting && entry.kind === 'engine'),
    desired,
    ignoresFencing: (serverId) =>
      region.config.document()?.defaults.engineOrders.serversIgnoringFencing.includes(serverId) ===
      true,
  });
  return {
    start: reconciler.start,
    async close() {
      await reconciler.close();
      await Promise.all([client.close(), weightStore.close()]);
    },
  };
}
