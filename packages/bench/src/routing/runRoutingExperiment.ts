import { PlatformError, RequestError, asId } from '@camphorbarrow/core';
import type { HostId, InferenceRequest, RegionId } from '@camphorbarrow/core';
import { createVirtualClock } from '../clock/createVirtualClock.js';
import type { RequestRecord } from '../experiment/RequestRecord.js';
import { createBenchFleet } from '../experiment/createBenchFleet.js';
import { createBenchRequest } from '../experiment/createBenchRequest.js';
import type { ExperimentResult } from '../experiment/runExperiment.js';
import { scheduleFaults } from '../experiment/scheduleFaults.js';
import { createSimulatedRequest } from '../experiment/createSimulatedRequest.js';
import type { SimulatedRequest } from '../fakes/SimulatedRequest.js';
import { createFakeEngineClient } from '../fakes/createFakeEngineClient.js';
import { createFakeLinks } from '../fakes/createFakeLinks.js';
import type { Arrival } from '../workload/Arrival.js';
import type { Workload } from '../workload/Workload.js';
import type { WorkloadCase } from '../workload/WorkloadCase.js';
import type { RoutingPolicy } from './RoutingPolicy.js';
import { createLinkForwardClient } from './createLinkForwardClient.js';
import { createRoutingHost } from './createRoutingHost.js';
import type { RoutingHost } from './createRoutingHost.js';

const HEARTBEAT_INTERVAL_MS = 1_000;
const HOST_SEED_FACTOR = 10_007;
const BYTES_PER_TOKEN = 4;

export interface RoutingExperimentOptions {
  readonly workload: Workload;
  readonly workloadCase: WorkloadCase;
  readonly arrivals: readonly Arrival[];
  readonly policy: RoutingPolicy;
  readonly seed: number;
}

function createRecord(arrival: Arrival): RequestRecord {
  return {
    arrival,
    firstTokenAtMs: undefined,
    finishedAtMs: undefined,
    errorCode: undefined,
    spilled: false,
    attempts: 0,
    promptTokens: 0,
    lookedUpTokens: 0,
    cachedTokens: 0,
    tokenGapsMs: [],
  };
}

/** Creates a request whose body is as large as its prompt. */
function createSizedRequest(
  workload: Workload,
  arrival: Arrival,
  nowMs: number,
  path: readonly HostId[],
): InferenceRequest {
  const request = createBenchRequest(workload, arrival, nowMs, path);
  const prompt = 'x'.repeat(request.promptTokens * BYTES_PER_TOKEN);
  return { ...request, body: JSON.stringify({ ...JSON.parse(request.body), prompt }) };
}

/** Runs the inference requests of a workload through entry hosts with the real spill gateway. */
export async function runRoutingExperiment(
  options: RoutingExperimentOptions,
): Promise<ExperimentResult> {
  const { workload, policy, seed } = options;
  const arrivals = options.arrivals.filter(({ requestClass }) => requestClass.kind === 'inference');
  const clock = createVirtualClock();
  const fleet = createBenchFleet(workload, clock, seed);
  const links = createFakeLinks(clock, workload.link);
  const faults = scheduleFaults(options.workloadCase, clock, links, fleet);
  const simulatedRequests = new Map<string, SimulatedRequest>();
  const records = new Map<string, RequestRecord>();
  const hosts = new Map<string, RoutingHost>();
  const engineClient = createFakeEngineClient({
    clock,
    oneWayMs: workload.link.zoneOneWayMs,
    engineAt: (baseUrl) => fleet.engines.get(baseUrl),
    requestOf: (requestId) => simulatedRequests.get(requestId),
    allAttemptsFail: () => faults.allAttemptsFail,
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
  const fleetHostCount = workload.regions.reduce((sum, { entryHosts }) => sum + entryHosts, 0);

  workload.regions.forEach(({ name, entryHosts }, regionIndex) => {
    const regionId = asId<RegionId>(name);
    const forwardClient = createLinkForwardClient({
      links,
      regionId,
      async serveAt(attempt, signal) {
        const record = records.get(attempt.requestId);
        const peer = hosts.get(attempt.peerUrl);
        if (record === undefined || peer === undefined) {
          throw new RequestError('The peer does not exist.');
        }
        record.spilled = true;
        const nowMs = clock.monotonicMs();
        return peer.local.handle(
          createSizedRequest(workload, record.arrival, nowMs, attempt.path),
          signal,
        );
      },
    });
    for (let index = 0; index < entryHosts; index += 1) {
      const hostId = asId<HostId>(`${name}-${index}`);
      hosts.set(
        hostId,
        createRoutingHost({
          hostId,
          regionId,
          clock,
          seed: seed * HOST_SEED_FACTOR + regionIndex * 100 + index,
          policy,
          entryHostCount: entryHosts,
          fleetHostCount,
          hostList,
          engineClient,
          forwardClient,
        }),
      );
    }
  });

  function exchangeHeartbeats(): void {
    const all = [...hosts.values()];
    all.forEach((from) => {
      const load = from.summary();
      all
        .filter(({ regionId }) => regionId !== from.regionId)
        .forEach((to) => {
          const arrives = links.isOpen(from.regionId, to.regionId);
          clock.schedule(clock.monotonicMs() + workload.link.oneWayMs, () =>
            to.receiveHeartbeat(from, arrives ? load : undefined, 2 * workload.link.oneWayMs),
          );
        });
    });
    clock.schedule(clock.monotonicMs() + HEARTBEAT_INTERVAL_MS, exchangeHeartbeats);
  }
  clock.schedule(HEARTBEAT_INTERVAL_MS, exchangeHeartbeats);

  function registerRequest(record: RequestRecord, request: InferenceRequest): void {
    records.set(request.requestId, record);
    simulatedRequests.set(request.requestId, createSimulatedRequest(clock, record, request));
  }

  async function send(record: RequestRecord, signal: AbortSignal): Promise<void> {
    const { arrival } = record;
    const { callerOneWayMs } = workload.link;
    await clock.sleep(callerOneWayMs);
    const request = createSizedRequest(workload, arrival, clock.monotonicMs(), []);
    registerRequest(record, request);
    const region = workload.regions[arrival.regionIndex]?.name ?? '';
    const host = hosts.get(`${region}-${arrival.hostIndex}`) as RoutingHost;
    const response = await host.gateway.handle(request, signal);
    if (response.kind === 'stream') {
      const events = response.events[Symbol.asyncIterator]();
      for (let next = await events.next(); next.done !== true; next = await events.next()) {
        record.firstTokenAtMs ??= clock.monotonicMs() + callerOneWayMs;
      }
    }
  }

  async function runArrival(arrival: Arrival): Promise<RequestRecord> {
    const record = createRecord(arrival);
    const callerAbort = new AbortController();
    const { deadlineAtMs } = createBenchRequest(workload, arrival, 0, []);
    clock.schedule(deadlineAtMs, () => callerAbort.abort());
    await send(record, callerAbort.signal).catch((error: unknown) => {
      record.errorCode = error instanceof RequestError ? error.code : (error as Error).name;
    });
    if (callerAbort.signal.aborted) {
      record.errorCode = 'caller-gave-up';
    }
    record.finishedAtMs = clock.monotonicMs() + workload.link.callerOneWayMs;
    return record;
  }

  const finished: RequestRecord[] = [];
  arrivals.forEach((arrival) => {
    clock.schedule(arrival.atMs, () => {
      void runArrival(arrival).then((record) => finished.push(record));
    });
  });
  await clock.runUntil(workload.durationMs);
  const busyMs = fleet.busyMs();
  while (finished.length < arrivals.length) {
    await clock.runUntil(clock.monotonicMs() + HEARTBEAT_INTERVAL_MS);
  }
  const closing = [...hosts.values()].map((host) => host.close());
  await clock.runUntil(clock.monotonicMs() + HEARTBEAT_INTERVAL_MS);
  await Promise.all(closing);
  const retry = policy.admission === 'all' ? 'unlimited' : 'budget';
  return { policy: { ...policy, retry }, records: finished, busyMs };
}
