import {
  createCrashProbe,
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

/** Wires the path of inference requests. */
export function createInferencePath(context: HostContext, view: RegionComponents): InferencePath {
  const { hostId, clock, random, ports } = context;
  const { log, metrics, peerClient, forwardClient } = ports;
  const {
    config,
    registry,
    routing,
    spill,
    readLoad,
    callRegionPeers: askRegion,
    entryHostCount,
  } = view;
  const quarantine = createQuarantine({
    clock,
    log,
    holdMs: () => config.current().defaults.quarantine.holdMs,
    hasCrashed: createCrashProbe({ clock, readLoad }),
    broadcast: (report) => askRegion((peerUrl) => peerClient.reportCrash(peerUrl, report)),
  });
  const local = createInferenceGateway({
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
  });
  const spilling = createSpillGateway({
    clock,
    random,
    log,
    metrics,
    hostId,
    local,
    forwardClient,
    decider: spill.decider,
    estimateLocal: spill.estimateLocal,
  });
  return { quarantine, localGateway: local, spillGateway: spilling };
}
