import { asId, createSeededRandom, PlatformError } from '@camphorbarrow/core';
import type { HostId, Incarnation, LoadReport, RegionId } from '@camphorbarrow/core';
import { createVirtualClock } from '../clock/createVirtualClock.js';
import type { SimulatedRequest } from '../fakes/SimulatedRequest.js';
import { createFakeEngineClient } from '../fakes/createFakeEngineClient.js';
import { createFakeLinks } from '../fakes/createFakeLinks.js';
import { createFakeServiceClient } from '../fakes/createFakeServiceClient.js';
import type { BenchPolicy } from '../policies/BenchPolicy.js';
import type { RegionLoad } from '../policies/RegionLoad.js';
import type { Arrival } from '../workload/Arrival.js';
import type { Workload } from '../workload/Workload.js';
import type { WorkloadCase } from '../workload/WorkloadCase.js';
import type { RequestRecord } from './RequestRecord.js';
import { createBenchCaller } from './createBenchCaller.js';
import { createBenchFleet } from './createBenchFleet.js';
import { createBenchHost } from './createBenchHost.js';
import type { BenchHost } from './createBenchHost.js';
import { scheduleFaults } from './scheduleFaults.js';

/** Interval at which regions exchange digests of their load. */
const DIGEST_INTERVAL_MS = 1_000;
/** Age at which the digest of a region is no longer used. */
const DIGEST_MAX_AGE_MS = 3_000;
const HOST_SEED_FACTOR = 10_007;

export interface ExperimentResult {
  readonly policy: BenchPolicy;
  readonly records: readonly RequestRecord[];
  /** Time during which engines were busy, summed over all engines. */
  readonly busyMs: number;
}

export interface ExperimentOptions {
  readonly workload: Workload;
  readonly workloadCase: WorkloadCase;
  readonly arrivals: readonly Arrival[];
  readonly policy: BenchPolicy;
  readonly seed: number;
}

/** Simulates the arrivals under one policy in virtual time. */
export async function runExperiment(options: ExperimentOptions): Promise<ExperimentResult> {
  const { workload, arrivals, policy, seed } = options;
  const clock = createVirtualClock();
  const random = createSeededRandom(seed + 1);
  const fleet = createBenchFleet(workload, clock, seed);
  const links = createFakeLinks(clock, workload.link);
  const faults = scheduleFaults(options.workloadCase, clock, links, fleet);
  const simulatedRequests = new Map<string, SimulatedRequest>();
  const oneWayMs = workload.link.zoneOneWayMs;
  const engineClient = createFakeEngineClient({
    clock,
    oneWayMs,
    engineAt: (baseUrl) => fleet.engines.get(baseUrl),
    requestOf: (requestId) => simulatedRequests.get(requestId),
    allAttemptsFail: () => faults.allAttemptsFail,
  });
  const serviceClient = createFakeServiceClient({
    clock,
    oneWayMs,
    settings: workload.ordering,
    isUp: fleet.isUp,
  });
  const hostList = {
    async read() {
      if (faults.storeDown) {
        throw new PlatformError('The host list is unavailable.');
      }
      return fleet.entries;
    },
    close: async () => undefined,
  };
  const serviceLoad: LoadReport = {
    incarnation: asId<Incarnation>('1'),
    state: 'live',
    runningRequests: 0,
    waitingRequests: 0,
    waitingTokens: 0,
    maxConcurrentRequests: workload.ordering.maxConcurrentCalls,
    kvCacheUsageRatio: 0,
  };
  const hosts = workload.regions.map(({ name, entryHosts }, regionIndex) =>
    Array.from({ length: entryHosts }, (_, index) =>
      createBenchHost({
        hostId: asId<HostId>(`${name}-${index + 1}`),
        regionId: asId<RegionId>(name),
        clock,
        seed: seed * HOST_SEED_FACTOR + regionIndex * 100 + index,
        policy,
        entryHostCount: entryHosts,
        hostList,
        engineClient,
        serviceClient,
        readServiceLoad: (baseUrl) => (fleet.isUp(baseUrl) ? serviceLoad : undefined),
      }),
    ),
  );

  const digests = new Map<string, RegionLoad>();
  function exchangeDigests(): void {
    const loads = hosts.map((regionHosts) => (regionHosts[0] as BenchHost).regionLoad());
    loads.forEach((load) => {
      loads
        .filter(({ regionId }) => regionId !== load.regionId)
        .filter(({ regionId }) => links.isOpen(load.regionId, regionId))
        .forEach(({ regionId }) => {
          clock.schedule(clock.monotonicMs() + workload.link.oneWayMs, () => {
            digests.set(`${load.regionId}>${regionId}`, load);
          });
        });
    });
    clock.schedule(clock.monotonicMs() + DIGEST_INTERVAL_MS, exchangeDigests);
  }
  clock.schedule(DIGEST_INTERVAL_MS, exchangeDigests);

  const caller = createBenchCaller({
    workload,
    clock,
    links,
    random,
    hostsOf: (regionIndex) => hosts[regionIndex] ?? [],
    otherRegionLoads: (host) =>
      workload.regions
        .map(({ name }) => digests.get(`${name}>${host.regionId}`))
        .filter((load): load is RegionLoad => load !== undefined)
        .filter(({ atMs }) => clock.monotonicMs() - atMs < DIGEST_MAX_AGE_MS),
    register: (requestId, request) => simulatedRequests.set(requestId, request),
  });
  const records: RequestRecord[] = [];
  arrivals.forEach((arrival) => {
    clock.schedule(arrival.atMs, () => {
      void caller.send(arrival).then((record) => records.push(record));
    });
  });
  await clock.runUntil(workload.durationMs);
  const busyMs = fleet.busyMs();
  // Callers give up at their deadline, so every request finishes.
  while (records.length < arrivals.length) {
    await clock.runUntil(clock.monotonicMs() + DIGEST_INTERVAL_MS);
  }
  const closing = hosts.flat().map((host) => host.close());
  await clock.runUntil(clock.monotonicMs() + DIGEST_INTERVAL_MS);
  await Promise.all(closing);
  return { policy, records, busyMs };
}
