import { randomUUID } from 'node:crypto';
import { createOrderDispatch } from '../../src/dispatch/createOrderDispatch.js';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { PeerUnavailableError } from '../../src/errors/PeerUnavailableError.js';
import { ProgressTimeoutError } from '../../src/errors/ProgressTimeoutError.js';
import { RequestError } from '../../src/errors/RequestError.js';
import type { HostId } from '../../src/ids/HostId.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import type { RequestId } from '../../src/ids/RequestId.js';
import { asId } from '../../src/ids/asId.js';
import type { PeerDescription } from '../../src/membership/PeerDescription.js';
import { createOrderExecutor } from '../../src/orders/createOrderExecutor.js';
import type { OrderExecutor } from '../../src/orders/createOrderExecutor.js';
import type { Clock } from '../../src/ports/Clock.js';
import type { PeerClient } from '../../src/ports/PeerClient.js';
import type { RandomSource } from '../../src/ports/RandomSource.js';
import type { ServiceCall } from '../../src/ports/ServiceClient.js';
import { createFakeRegistry } from '../support/createFakeRegistry.js';
import { createServiceRequest } from '../support/createServiceRequest.js';
import { silentLog } from '../support/silentLog.js';
import type { OrderEvent } from './OrderEvent.js';
import { createSimulatedStore } from './createSimulatedStore.js';

export interface SimulatedRegionOptions {
  /** Resolves at a time chosen by the schedule. */
  readonly step: () => Promise<void>;
  readonly random: RandomSource;
  readonly hostCount: number;
  /** Faulty variant: every claim succeeds. */
  readonly everyClaimSucceeds?: boolean;
  /** Faulty variant: every host treats itself as the issuer of every permit. */
  readonly everyHostIsIssuer?: boolean;
}

export interface SimulatedOrder {
  readonly name: string;
  readonly key: string;
}

export interface SimulatedRegion {
  readonly events: readonly OrderEvent[];
  readonly faults: { storeRatio: number; peerRatio: number; serverRatio: number };
  issuePermit(host: number): string;
  send(
    host: number,
    order: SimulatedOrder,
    deadlineMs?: number,
    mustFindOutcome?: boolean,
  ): Promise<void>;
  restart(host: number): void;
  advance(durationMs: number): void;
  /** Orders whose response was received by a process that is still running. */
  knownOrders(): ReadonlySet<string>;
}

interface SimulatedHost {
  readonly executor: OrderExecutor;
  readonly terminated: AbortController;
}

const regionId = asId<RegionId>('r');
const never = new Promise<never>(() => {});

/**
 * Simulates a region of entry hosts in one process, with faults in all calls between components.
 */
export function createSimulatedRegion(options: SimulatedRegionOptions): SimulatedRegion {
  const { step, random } = options;
  const events: OrderEvent[] = [];
  const faults = { storeRatio: 0, peerRatio: 0, serverRatio: 0 };
  /** Termination signal of the process that received the response to an order, by order name. */
  const answerReceivers = new Map<string, AbortSignal>();
  const hosts: SimulatedHost[] = [];
  let timeMs = 0;
  let sendCount = 0;

  const pickFault = <Choice>(ratio: number, good: Choice, bad: readonly Choice[]): Choice =>
    random.next() < ratio ? (bad[Math.floor(random.next() * bad.length)] ?? good) : good;
  const clock: Clock = {
    nowMs: () => 1_000_000 + timeMs,
    monotonicMs: () => timeMs,
    async sleep(durationMs) {
      const endMs = timeMs + durationMs;
      await step();
      timeMs = Math.max(timeMs, endMs);
    },
  };
  const store = createSimulatedStore({
    step,
    everyClaimSucceeds: options.everyClaimSucceeds ?? false,
    nextFault: () =>
      pickFault(faults.storeRatio, 'none', ['outage', 'lost-response', 'late-effect']),
  });

  /** Withholds results from a terminated process, so that none of its code continues. */
  async function whileAlive<Result>(
    terminated: AbortSignal,
    result: Promise<Result>,
  ): Promise<Result> {
    try {
      const value = await result;
      return terminated.aborted ? await never : value;
    } catch (cause) {
      if (terminated.aborted) {
        return never;
      }
      throw cause;
    }
  }

  function recordRun(call: ServiceCall): string {
    const { order } = JSON.parse(call.body ?? '') as { order: string };
    const confirmation = randomUUID();
    events.push({ kind: 'run', order, sendId: call.requestId, confirmation });
    return confirmation;
  }

  async function handleCall(call: ServiceCall, terminated: AbortSignal): Promise<string> {
    const fault = pickFault(faults.serverRatio, 'none', ['refused', 'lost', 'late']);
    await step();
    if (terminated.aborted) {
      return never;
    }
    if (fault === 'refused') {
      throw new ConnectFailedError(fault);
    }
    call.onBeforeSend();
    if (fault === 'late') {
      void step().then(() => recordRun(call));
      throw new ProgressTimeoutError(fault);
    }
    await step();
    const confirmation = recordRun(call);
    await step();
    if (fault === 'lost') {
      throw new ProgressTimeoutError(fault);
    }
    if (!terminated.aborted) {
      answerReceivers.set((JSON.parse(call.body ?? '') as { order: string }).order, terminated);
    }
    return confirmation;
  }

  async function callPeer<Result>(
    peerUrl: string,
    call: (executor: OrderExecutor) => Promise<Result>,
  ): Promise<Result> {
    const fault = pickFault(faults.peerRatio, 'none', ['lost-request', 'lost-response', 'timeout']);
    await step();
    const peer = hosts[Number(peerUrl)];
    if (peer === undefined || fault === 'lost-request') {
      throw new PeerUnavailableError('lost request');
    }
    const terminated = new Promise<never>((_resolve, reject) => {
      peer.terminated.signal.addEventListener('abort', () =>
        reject(new PeerUnavailableError('terminated')),
      );
    });
    const answer = Promise.race([call(peer.executor), terminated]);
    answer.catch(() => undefined);
    if (fault === 'timeout') {
      await step();
      throw new PeerUnavailableError('timeout');
    }
    const result = await answer;
    await step();
    if (fault === 'lost-response') {
      throw new PeerUnavailableError('lost response');
    }
    return result;
  }

  function createHost(index: number): SimulatedHost {
    const terminated = new AbortController();
    const alive = <Result>(result: Promise<Result>): Promise<Result> =>
      whileAlive(terminated.signal, result);
    const peerClient = {
      relayOrder: (peerUrl, { requestId, deadlineMs, permit, body }) =>
        alive(
          callPeer(peerUrl, (executor) => {
            const context = { requestId, deadlineMs, idempotencyKey: permit, receivedAtMs: timeMs };
            return executor.executeRelayed(createServiceRequest(context, { body }));
          }),
        ),
      orderOutcome: (peerUrl, query) =>
        alive(callPeer(peerUrl, (executor) => executor.claimStatus(query))),
    } as Pick<PeerClient, 'relayOrder' | 'orderOutcome'> as PeerClient;
    const executor = createOrderExecutor({
      clock,
      log: silentLog,
      self: {
        hostId: asId<HostId>(options.everyHostIsIssuer === true ? 'h0' : `h${index}`),
        incarnation: asId<Incarnation>(
          options.everyHostIsIssuer === true ? '0'.repeat(36) : randomUUID(),
        ),
        regionId,
      },
      recordKey: 'record-key',
      store: {
        ...store,
        get: (key) => alive(store.get(key)),
        compareAndSwap: (request) => alive(store.compareAndSwap(request)),
        grantLease: (ttlSeconds) => alive(store.grantLease(ttlSeconds)),
      },
      peerClient,
      findPeer: (hostId) => ({ hostId, regionId, peerUrl: hostId.slice(1) }) as PeerDescription,
      entryHostUrls: () => [],
      dispatchOrder: createOrderDispatch({
        random,
        log: silentLog,
        registry: createFakeRegistry(2),
        serviceClient: {
          call: async (call) => ({
            statusCode: 200,
            contentType: undefined,
            body: await alive(handleCall(call, terminated.signal)),
          }),
          close: async () => undefined,
        },
      }),
      hasServer: () => true,
    });
    return { executor, terminated };
  }

  for (let index = 0; index < options.hostCount; index += 1) {
    hosts.push(createHost(index));
  }

  return {
    events,
    faults,
    issuePermit: (host) =>
      hosts[host]?.executor.issuePermits(createServiceRequest().context.customerId, 1).permits[0] ??
      '',
    async send(host, order, deadlineMs, mustFindOutcome = false) {
      sendCount += 1;
      const sendId = `${sendCount}`;
      events.push({ kind: 'send', sendId, order: order.name, mustFindOutcome });
      const context = {
        requestId: asId<RequestId>(sendId),
        idempotencyKey: order.key,
        deadlineMs,
        receivedAtMs: timeMs,
      };
      const body = JSON.stringify({ order: order.name });
      const target = hosts[host];
      try {
        const answer = target?.executor.execute(createServiceRequest(context, { body }));
        const confirmation = (await answer)?.body;
        if (target?.terminated.signal.aborted === false) {
          events.push({ kind: 'answer', sendId, outcome: 'run', confirmation });
        }
      } catch (cause) {
        if (!(cause instanceof RequestError)) {
          throw cause;
        }
        const { finalForKey = false } = cause.details as { finalForKey?: boolean };
        events.push({ kind: 'answer', sendId, outcome: cause.outcome, finalForKey });
      }
    },
    restart(host) {
      hosts[host]?.terminated.abort();
      hosts[host] = createHost(host);
    },
    advance(durationMs) {
      timeMs += durationMs;
    },
    knownOrders: () =>
      new Set(
        [...answerReceivers]
          .filter(([, terminated]) => !terminated.aborted)
          .map(([order]) => order),
      ),
  };
}
