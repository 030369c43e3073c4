import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { prepareAttempt, tryPrepareNextAttempt } from '../../src/index.js';
import type { Exchange, ExchangeProgress, GatewayContext } from '../../src/index.js';
import {
  buildRequestMetadata,
  buildRoute,
  buildServer,
  buildService,
} from '../support/builders.js';

const noop = (): void => undefined;
const exchange = {
  metadata: buildRequestMetadata(),
  route: buildRoute(),
  service: buildService(),
  deadlineAtMs: 1_000,
} as unknown as Exchange;

function prepare(hasArrived: boolean): {
  readonly prepared: boolean;
  readonly withdrawals: number;
} {
  let withdrawals = 0;
  const context = {
    clock: createManualClock(),
    controlsOverload: () => true,
    router: { choose: () => ({ kind: 'server', server: buildServer() }) },
    serverRateLimiter: { recordSend: noop },
    retryBudget: {
      tryWithdraw() {
        withdrawals += 1;
        return false;
      },
    },
  } as unknown as GatewayContext;
  const progress = { attempts: 1, hasArrived, causes: [] } as unknown as ExchangeProgress;
  const { signal } = new AbortController();
  const prepared = prepareAttempt(context, exchange, progress, signal, { end: noop });
  return { prepared: prepared !== undefined, withdrawals };
}

// With 195 hosts, each may send about six requests again in ten seconds. Most of them were used up by
// connections that were never made, and 300 of 2,537 requests ended for lack of a retry.
test('an attempt costs retry budget only if the request may have arrived at a server before', (t) => {
  t.deepEqual(prepare(false), { prepared: true, withdrawals: 0 });
  t.deepEqual(prepare(true), { prepared: false, withdrawals: 1 });
});

// Callers of a region without servers were all told to return after the same 500 ms.
test('a request that only a full region may process counts as rejected for overload', (t) => {
  const stop = (hasOverloadedPeer: boolean) => {
    const context = {
      clock: createManualClock(),
      controlsOverload: () => true,
      router: { choose: () => ({ kind: 'none', reason: 'no-server' }) },
    } as unknown as GatewayContext;
    const progress = { attempts: 1, hasOverloadedPeer, causes: [] } as unknown as ExchangeProgress;
    const { signal } = new AbortController();
    prepareAttempt(context, exchange, progress, signal, { end: noop });
    return { stopCause: progress.stopCause, cause: progress.overload?.cause };
  };
  t.deepEqual(stop(true), { stopCause: 'overloaded', cause: 'full' });
  t.deepEqual(stop(false), { stopCause: 'no-server', cause: undefined });
});

test('a request that has no place at fragile servers waits where customers compete for them', (t) => {
  const stop = (controlsOverload: boolean) => {
    const counted: string[] = [];
    const context = {
      clock: createManualClock(),
      controlsOverload: () => controlsOverload,
      metrics: { increment: (name: string) => counted.push(name) },
      router: { choose: () => ({ kind: 'none', reason: 'rejection-limited' }) },
    } as unknown as GatewayContext;
    const progress = { attempts: 0, causes: [] } as unknown as ExchangeProgress;
    const { signal } = new AbortController();
    prepareAttempt(context, exchange, progress, signal, { end: noop });
    t.deepEqual(counted, ['rejection_limited_requests']);
    return { stopCause: progress.stopCause, waits: progress.overload?.fitsWithoutQueue };
  };
  t.deepEqual(stop(true), { stopCause: 'overloaded', waits: true });
  t.deepEqual(stop(false), { stopCause: 'rejection-limited', waits: undefined });
});

// A trial that never ends would keep all hosts from sending requests with its prompt part.
test('the trial of an attempt that cannot be prepared ends, also after an exception', (t) => {
  let endedTrials = 0;
  const trial = {
    end() {
      endedTrials += 1;
    },
  };
  const context = {
    clock: createManualClock(),
    controlsOverload: () => true,
    router: { choose: () => ({ kind: 'server', server: buildServer() }) },
    crashGuard: { quarantineMs: () => 0, trialKey: () => undefined },
    partSuspicion: { hasSuspects: () => false, blockedUntilMs: () => 0 },
    partTrials: { tryStart: () => trial },
    retryBudget: { tryWithdraw: () => true },
    serverRateLimiter: {
      recordSend() {
        throw new Error('unexpected');
      },
    },
  } as unknown as GatewayContext;
  const progress = { attempts: 1, causes: [] } as unknown as ExchangeProgress;
  t.throws(() => tryPrepareNextAttempt(context, exchange, progress), { message: 'unexpected' });
  t.is(endedTrials, 1);
});
