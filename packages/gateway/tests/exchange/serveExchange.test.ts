import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { serveExchange } from '../../src/index.js';
import type { Exchange, GatewayContext } from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';

const noop = (): void => undefined;

// A trial that never ends would keep all hosts from sending requests with its prompt part.
test('the trial of a suspected prompt part ends when its attempt fails with an exception', async (t) => {
  let endedTrials = 0;
  const context = {
    clock: createManualClock(),
    closing: new AbortController().signal,
    metrics: { increment: noop },
    retryBudget: { recordRequest: noop },
    crashGuard: { quarantineMs: () => 0, trialKey: () => undefined },
    partSuspicion: { hasSuspects: () => false, blockedUntilMs: () => 0 },
    partTrials: {
      tryStart: () => ({
        end() {
          endedTrials += 1;
        },
      }),
    },
    dispatchQueue: { wait: async () => undefined },
    router: {
      choose() {
        throw new Error('unexpected');
      },
    },
  } as unknown as GatewayContext;
  const exchange = {
    metadata: buildRequestMetadata(),
    route: buildRoute(),
    service: buildService(),
    arrivedAtMs: 0,
    deadlineAtMs: 1_000,
    sharedPartKeys: () => [],
    responseWriter: { disconnected: new AbortController().signal },
  } as unknown as Exchange;
  await t.throwsAsync(serveExchange(context, exchange), { message: 'unexpected' });
  t.is(endedTrials, 1);
});
