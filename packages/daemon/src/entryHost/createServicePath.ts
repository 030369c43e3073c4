import {
  createDispatchQueue,
  createOrderDispatch,
  createOrderExecutor,
  createRepeatableDispatch,
  createServiceGateway,
  createServiceCallLimiter,
  recordServiceResults,
} from '@camphorbarrow/core';
import type { BurnCounters, OrderExecutor, ServiceGateway } from '@camphorbarrow/core';
import type { HostContext } from './HostContext.js';
import type { RegionComponents } from './createRegionComponents.js';

export interface ServicePath {
  readonly orders: OrderExecutor;
  readonly services: ServiceGateway;
}

/** Creates the components that serve calls to plain services, including orders. */
export function createServicePath(
  context: HostContext,
  region: RegionComponents,
  burn: BurnCounters,
): ServicePath {
  const { settings, hostId, regionId, incarnation, clock, random, ports } = context;
  const { log, store, peerClient, serviceClient } = ports;
  const { registry, peers, ranking } = region;
  const dispatchQueue = createDispatchQueue();
  const serviceOptions = { clock, random, log, registry, serviceClient, dispatchQueue };
  const orders = createOrderExecutor({
    clock,
    log,
    self: { hostId, incarnation, regionId },
    recordKey: settings.secrets.recordKey,
    store,
    peerClient,
    findPeer: (peerId) => peers.peers().find((peer) => peer.hostId === peerId),
    entryHostUrls: ranking.entryHostUrls,
    dispatchOrder: createOrderDispatch(serviceOptions),
    hasServer: ({ serviceName }) =>
      registry
        .servers()
        .some((server) => server.accepting && server.entry.serviceName === serviceName),
  });
  const gateway = createServiceGateway({
    dispatchRepeatable: createRepeatableDispatch(serviceOptions),
    orders,
    dispatchQueue,
  });
  const callLimiter = createServiceCallLimiter();
  const limitedGateway: ServiceGateway = {
    handle: (request, signal) =>
      callLimiter.run(request.context, () => gateway.handle(request, signal), signal),
  };
  return { orders, services: recordServiceResults(limitedGateway, burn) };
}
