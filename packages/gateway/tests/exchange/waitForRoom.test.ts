import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { LATE_RANK, waitForRoom } from '../../src/index.js';
import type {
  Exchange,
  ExchangeProgress,
  GatewayContext,
  OverloadRejection,
  WaitingRequest,
} from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';
import { discardingMetrics } from '../support/silentSinks.js';

async function wait(
  hasTurn: boolean,
  changes: {
    readonly relayedBy?: string;
    readonly isFromNeighbour?: boolean;
    readonly hasCustomers?: boolean;
    readonly runs?: number;
    readonly hasLeft?: boolean;
    readonly isLate?: boolean;
    readonly recordedSentAtMs?: number;
    readonly overload?: Partial<OverloadRejection>;
  },
) {
  const recorded: string[] = [];
  const waited: WaitingRequest[] = [];
  const context = {
    clock: createManualClock(),
    metrics: discardingMetrics,
    controlsOverload: () => changes.hasCustomers ?? true,
    admissionQueue: {
      waitForTurn: async (request: WaitingRequest) => {
        waited.push(request);
        return hasTurn;
      },
      remainingMs: () => 100,
    },
    overload: {
      recordRejected: (_: unknown, cause: string) => recorded.push(cause),
      retractSent: (_: unknown, sentAtMs: number) => recorded.push(`retract ${sentAtMs}`),
    },
    returns: { book: () => ({ delayMs: 700, isSlot: true }) },
    lateReturns: { recordRejection: () => undefined },
  } as unknown as GatewayContext;
  const exchange = {
    metadata: buildRequestMetadata(),
    route: buildRoute(),
    service: buildService(),
    arrivedAtMs: 0,
    deadlineAtMs: 5_000,
    relayedBy: changes.relayedBy,
    isFromNeighbour: changes.isFromNeighbour ?? false,
    isLate: changes.isLate ?? false,
  } as unknown as Exchange;
  const progress = {
    causes: ['overloaded'],
    stopCause: 'overloaded',
    overload: { cause: 'full', roomInMs: 0, fitsWithoutQueue: true, ...changes.overload },
    recordedSentAtMs: changes.recordedSentAtMs,
    runs: changes.runs ?? 0,
    retryAfterMs: 500,
  } as unknown as ExchangeProgress;
  const caller = new AbortController();
  if (changes.hasLeft === true) {
    caller.abort();
  }
  const mayTry = await waitForRoom(context, exchange, progress, caller.signal);
  const { causes, retryAfterMs } = progress;
  return { mayTry, recorded, waited, causes, retryAfterMs };
}

test('a request that has its turn tries again without a trace of the rejection', async (t) => {
  const { waited, ...result } = await wait(true, {});
  t.like(waited[0], { rank: 0, latestAtMs: undefined });
  t.deepEqual(result, {
    mayTry: true,
    recorded: [],
    causes: [],
    retryAfterMs: 500,
  });
});

test('a request without a turn is recorded and gets a time to return', async (t) => {
  t.like(await wait(false, {}), { mayTry: false, recorded: ['full'], retryAfterMs: 700 });
});

test('a request that is late anyway waits behind all others, for a third of its time', async (t) => {
  const { waited, mayTry } = await wait(true, { isLate: true, overload: { cause: 'late' } });
  t.true(mayTry);
  t.is(waited[0]?.rank, LATE_RANK);
  t.is(Math.round(waited[0]?.latestAtMs ?? 0), 1_667);
});

test('relayed requests, repeats and callers that left neither count nor book a return', async (t) => {
  for (const changes of [{ relayedBy: 'host-2' }, { runs: 1 }, { hasLeft: true }]) {
    t.like(await wait(false, changes), { mayTry: false, recorded: [], retryAfterMs: 500 });
  }
});

// Callers of hosts without servers were rejected while those of their neighbours waited for room.
test('a request that a neighbour relayed waits, and is recorded by that neighbour', async (t) => {
  const changes = { relayedBy: 'host-2', isFromNeighbour: true };
  t.true((await wait(true, changes)).mayTry);
  t.like(await wait(false, changes), { mayTry: false, recorded: [], retryAfterMs: 500 });
});

test('a request that is known to find no room in its time to wait is rejected at once', async (t) => {
  t.true((await wait(true, { overload: { roomInMs: 100 } })).mayTry);
  for (const overload of [{ roomInMs: 101 }, { fitsWithoutQueue: false }]) {
    t.like(await wait(true, { overload }), { mayTry: false, recorded: ['full'] });
  }
});

test('a request that another host rejected after it was sent on does not count as sent', async (t) => {
  t.like(await wait(false, { recordedSentAtMs: 0 }), { recorded: ['retract 0', 'full'] });
});

test('without customers that compete for the servers nothing waits or is recorded', async (t) => {
  t.deepEqual(await wait(true, { hasCustomers: false }), {
    mayTry: false,
    recorded: [],
    waited: [],
    causes: ['overloaded'],
    retryAfterMs: 500,
  });
});
