import {
  ConnectFailedError,
  PlatformError,
  createEngineDispatcher,
  createInferenceGateway,
  createNoQuarantine,
  createSeededRandom,
  createServerRegistry,
  createServiceCallLimiter,
  createPassThroughDispatchQueue,
} from '@camphorbarrow/core';
import type {
  EngineClient,
  HostId,
  HostList,
  InferenceGateway,
  LoadReport,
  RegionId,
  ServiceClient,
  ServiceGateway,
} from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import { createNoLog } from '../fakes/createNoLog.js';
import { createNoMetrics } from '../fakes/createNoMetrics.js';
import type { BenchPolicy } from '../policies/BenchPolicy.js';
import type { RegionLoad } from '../policies/RegionLoad.js';
import type { SpillChooser } from '../policies/SpillChooser.js';
import { admissionChoices } from '../policies/admissionChoices.js';
import { retryChoices } from '../policies/retryChoices.js';
import { routeChoices } from '../policies/routeChoices.js';
import { spillChoices } from '../policies/spillChoices.js';
import { createBenchServices } from './createBenchServices.js';

/** An entry host of an experiment, composed of the real routing, admission and retry code. */
export interface BenchHost {
  readonly hostId: HostId;
  readonly regionId: RegionId;
  readonly inference: InferenceGateway;
  readonly services: ServiceGateway;
  readonly chooseSpill: SpillChooser;
  /** Load of the region as this entry host sees it. */
  regionLoad(): RegionLoad;
  /** Records that a request was sent to another region. */
  recordSpill(): void;
  close(): Promise<void>;
}

export interface BenchHostOptions {
  readonly hostId: HostId;
  readonly regionId: RegionId;
  readonly clock: VirtualClock;
  readonly seed: number;
  readonly policy: BenchPolicy;
  readonly entryHostCount: number;
  readonly hostList: HostList;
  readonly engineClient: EngineClient;
  readonly serviceClient: ServiceClient;
  /** Load of an ordering server; undefined when it is down. */
  readonly readServiceLoad: (baseUrl: string) => LoadReport | undefined;
}

/** An entry host counts as spilling for this long after it sent a request to another region. */
const SPILLING_WINDOW_MS = 1_000;
const LOAD_TIMEOUT_MS = 1_000;

/** Creates and starts an entry host. */
export function createBenchHost(options: BenchHostOptions): BenchHost {
  const { clock, policy, regionId, engineClient } = options;
  const random = createSeededRandom(options.seed);
  const registry = createServerRegistry({
    clock,
    log: createNoLog(),
    hostList: options.hostList,
    isUsed: (entry) => entry.regionId === regionId,
    async readLoad(entry) {
      if (entry.kind === 'engine') {
        return engineClient.readLoad(entry.baseUrl, LOAD_TIMEOUT_MS);
      }
      const load = options.readServiceLoad(entry.baseUrl);
      if (load === undefined) {
        throw new ConnectFailedError('The connection was refused.');
      }
      return load;
    },
  });
  const entryHostCount = (): number => options.entryHostCount;
  const context = { clock, random, regionId, registry, engineClient, entryHostCount };
  const createRouteChooser = routeChoices[policy.route];
  const createSpillChooser = spillChoices[policy.spill];
  const createAdmission = admissionChoices[policy.admission];
  const createRetryBudget = retryChoices[policy.retry];
  if (
    createRouteChooser === undefined ||
    createSpillChooser === undefined ||
    createAdmission === undefined ||
    createRetryBudget === undefined
  ) {
    throw new PlatformError(`Policy ${policy.name} contains an unknown choice.`);
  }
  const dispatchQueue = createPassThroughDispatchQueue();
  const services = createBenchServices({
    clock,
    random,
    log: createNoLog(),
    registry,
    serviceClient: options.serviceClient,
    dispatchQueue,
  });
  const quarantine = createNoQuarantine();
  const serviceCallLimiter = createServiceCallLimiter();
  let spilledAtMs = -Infinity;
  registry.start();

  return {
    hostId: options.hostId,
    regionId,
    inference: createInferenceGateway({
      clock,
      random,
      log: createNoLog(),
      metrics: createNoMetrics(),
      registry,
      dispatcher: createEngineDispatcher({ clock, engineClient, quarantine }),
      quarantine,
      chooseRoute: createRouteChooser(context),
      entryHostCount,
      admission: createAdmission(context),
      retryBudget: createRetryBudget(context),
      dispatchQueue,
    }),
    services: {
      handle: (request, signal) =>
        serviceCallLimiter.run(request.context, () => services.handle(request, signal), signal),
    },
    chooseSpill: createSpillChooser(context),
    regionLoad() {
      const loads = registry
        .servers()
        .filter(({ entry, accepting }) => accepting && entry.kind === 'engine')
        .map(({ load }) => load);
      const sum = (read: (load: LoadReport) => number): number =>
        loads.reduce((total, load) => total + (load === undefined ? 0 : read(load)), 0);
      return {
        regionId,
        runningRequests: sum((load) => load.runningRequests),
        waitingRequests: sum((load) => load.waitingRequests),
        maxConcurrentRequests: sum((load) => load.maxConcurrentRequests),
        spilling: clock.monotonicMs() - spilledAtMs < SPILLING_WINDOW_MS,
        atMs: clock.monotonicMs(),
      };
    },
    recordSpill() {
      spilledAtMs = clock.monotonicMs();
    },
    close: () => registry.close(),
  };
}
