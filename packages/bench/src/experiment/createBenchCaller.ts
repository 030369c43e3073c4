import { RequestError, asId } from '@camphorbarrow/core';
import type { InferenceAnswer, InferenceRequest, RequestId } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { SimulatedRequest } from '../fakes/SimulatedRequest.js';
import type { FakeLinks } from '../fakes/createFakeLinks.js';
import type { RegionLoad } from '../policies/RegionLoad.js';
import type { Arrival } from '../workload/Arrival.js';
import type { RequestClass } from '../workload/RequestClass.js';
import type { Workload } from '../workload/Workload.js';
import type { RequestRecord } from './RequestRecord.js';
import type { BenchHost } from './createBenchHost.js';
import { createSimulatedRequest } from './createSimulatedRequest.js';
import { createBenchRequest } from './createBenchRequest.js';

const BYTES_PER_TOKEN = 4;

export interface BenchCallerOptions {
  readonly workload: Workload;
  readonly clock: VirtualClock;
  readonly links: FakeLinks;
  readonly hostsOf: (regionIndex: number) => readonly BenchHost[];
  /** Loads of the other regions as last received in the host's region. */
  readonly otherRegionLoads: (host: BenchHost) => readonly RegionLoad[];
  readonly register: (requestId: string, request: SimulatedRequest) => void;
  readonly random: { next(): number };
}

export interface BenchCaller {
  /** Sends a request and resolves when it has finished; never rejects. */
  send(arrival: Arrival): Promise<RequestRecord>;
}

type ServiceClass = Extract<RequestClass, { kind: 'service' }>;

function errorCodeOf(error: unknown, signal: AbortSignal): string {
  if (signal.aborted) {
    return 'caller-gave-up';
  }
  if (error instanceof RequestError) {
    return error.code;
  }
  return error instanceof Error ? error.name : 'unknown';
}

/** Creates the callers of an experiment. They give up at their deadline. */
export function createBenchCaller(options: BenchCallerOptions): BenchCaller {
  const { workload, clock, links } = options;

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

  function registerRequest(record: RequestRecord, request: InferenceRequest): void {
    options.register(request.requestId, createSimulatedRequest(clock, record, request));
  }

  async function forward(
    host: BenchHost,
    request: InferenceRequest,
    record: RequestRecord,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const otherRegions = options.otherRegionLoads(host);
    const target =
      request.homeRegionId !== undefined || !request.settings.routing.spillEnabled
        ? undefined
        : host.chooseSpill(request, {
            nowMs: clock.monotonicMs(),
            random: options.random,
            local: host.regionLoad(),
            otherRegions,
          });
    if (target === undefined || target === host.regionId) {
      return undefined;
    }
    const regionIndex = workload.regions.findIndex(({ name }) => name === target);
    const peers = options.hostsOf(regionIndex);
    const peer = peers[Math.floor(options.random.next() * peers.length)];
    if (peer === undefined) {
      return undefined;
    }
    host.recordSpill();
    await links.send(host.regionId, target, request.promptTokens * BYTES_PER_TOKEN);
    record.spilled = true;
    const response = await peer.inference.handle(
      createBenchRequest(workload, record.arrival, clock.monotonicMs(), [host.hostId]),
      signal,
    );
    return response.kind === 'stream'
      ? { ...response, events: links.forwardEvents(target, host.regionId, response.events) }
      : response;
  }

  async function callInference(
    host: BenchHost,
    record: RequestRecord,
    signal: AbortSignal,
  ): Promise<void> {
    const request = createBenchRequest(workload, record.arrival, clock.monotonicMs(), []);
    registerRequest(record, request);
    const response =
      (await forward(host, request, record, signal)) ??
      (await host.inference.handle(request, signal));
    if (response.kind === 'stream') {
      const events = response.events[Symbol.asyncIterator]();
      for (let next = await events.next(); next.done !== true; next = await events.next()) {
        record.firstTokenAtMs ??= clock.monotonicMs() + workload.link.callerOneWayMs;
      }
    }
  }

  async function callService(
    host: BenchHost,
    requestClass: ServiceClass,
    record: RequestRecord,
    signal: AbortSignal,
  ): Promise<void> {
    const { arrival } = record;
    const { requestId, customerId, receivedAtMs, settings, path } = {
      requestId: asId<RequestId>(String(arrival.index)),
      customerId: asId<InferenceRequest['customerId']>(`customer-${arrival.customer}`),
      receivedAtMs: clock.monotonicMs(),
      settings: workload.fleetDefaults,
      path: [],
    };
    await host.services.handle(
      {
        context: {
          requestId,
          customerId,
          homeRegionId: undefined,
          rank: undefined,
          deadlineMs: requestClass.deadlineMs,
          idempotencyKey: requestId,
          path,
          receivedAtMs,
          settings,
          settingsForRank: () => settings,
        },
        serviceName: 'orders',
        method: requestClass.method,
        path: requestClass.path,
        contentType: 'application/json',
        body: undefined,
      },
      signal,
    );
    record.firstTokenAtMs = clock.monotonicMs() + workload.link.callerOneWayMs;
  }

  return {
    async send(arrival) {
      const record = createRecord(arrival);
      const { requestClass } = arrival;
      const host = options.hostsOf(arrival.regionIndex)[arrival.hostIndex] as BenchHost;
      const deadlineMs =
        requestClass.kind === 'service'
          ? requestClass.deadlineMs
          : workload.fleetDefaults.ranks[requestClass.rank].deadlineMs;
      const callerAbort = new AbortController();
      clock.schedule(arrival.atMs + deadlineMs, () => {
        if (record.finishedAtMs === undefined) {
          callerAbort.abort();
        }
      });
      try {
        await clock.sleep(workload.link.callerOneWayMs);
        await (requestClass.kind === 'service'
          ? callService(host, requestClass, record, callerAbort.signal)
          : callInference(host, record, callerAbort.signal));
        if (callerAbort.signal.aborted) {
          record.errorCode = 'caller-gave-up';
        }
      } catch (error) {
        record.errorCode = errorCodeOf(error, callerAbort.signal);
      }
      record.finishedAtMs = clock.monotonicMs() + workload.link.callerOneWayMs;
      return record;
    },
  };
}
