import {
  createCrashProbe,
  createDispatchQueue,
  createEngineDispatcher,
  createInferenceGateway,
  createQuarantine,
  createRankAdmission,
  createRetryBudget,
  createSharedDispatchLimit,
  createSpillGateway,
  observeAdmissionWait,
} from '@camphorbarrow/core';
import type { InferenceGateway, Quarantine } from '@camphorbarrow/core';
import type { HostContext } from './HostContext.js';
import type { RegionComponents } from './createRegionComponents.js';

export interface InferencePath {
  readonly quarantine: Quarantine;
  /** Serves requests in this region only. */
  readonly localGateway: InferenceGateway;
  /** Serves requests here or in another region. */
  readonly spillGateway: InferenceGateway;
}

/** Creates the components that serve inference requests. */
export function createInferencePath(context: HostContext, region: RegionComponents): InferencePath {
  const { hostId, clock, random, ports } = context;
  const { log, metrics, peerClient, forwardClient } = ports;
  const { config, registry, routing, spill, readLoad, callRegionPeers, entryHostCount } = region;
  const quarantine = createQuarantine({
    clock,
    log,
    holdMs: () => config.current().defaults.quarantine.holdMs,
    hasCrashed: createCrashProbe({ clock, readLoad }),
    broadcast: (report) => callRegionPeers((peerUrl) => peerClient.reportCrash(peerUrl, report)),
  });
  const localGateway = createInferenceGateway({
    clock,
    random,
    log,
    metrics,
    registry,
    dispatcher: createEngineDispatcher({
      clock,
      engineClient: routing.engineClient,
      quarantine,
    }),
    quarantine,
    chooseRoute: routing.chooseRoute,
    entryHostCount,
    admission: observeAdmissionWait(
      createRankAdmission({
        clock,
        servers: registry.servers,
        dispatchLimit: createSharedDispatchLimit(entryHostCount),
      }),
      clock,
      spill.admissionWaits,
    ),
    retryBudget: createRetryBudget(clock),
    dispatchQueue: createDispatchQueue(),
  });
  const spillGateway = createSpillGateway({
    clock,
    random,
    log,
    metrics,
    hostId,
    local: localGateway,
    forwardClient,
    decider: spill.decider,
    estimateLocal: spill.estimateLocal,
  });
  return { quarantine, localGateway, spillGateway };
}
