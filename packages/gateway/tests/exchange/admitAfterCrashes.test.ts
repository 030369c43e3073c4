import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import test from 'ava';
import { createSystemClock } from '@camphorbarrow/core';
import { admitAfterCrashes } from '../../src/index.js';
import type { Exchange, GatewayContext } from '../../src/index.js';
import { blockEventLoop } from '../support/blockEventLoop.js';

// Callers got 503 although the response that ends the suspicion had arrived in time.
test('the outcome of a trial that arrives while the process stands still admits its part', async (t) => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [receiver] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => {
    sender.destroy();
    receiver.destroy();
    server.close();
  });
  let isTrialRunning = true;
  receiver.once('data', () => {
    isTrialRunning = false;
  });
  const clock = createSystemClock();
  const context = {
    clock,
    crashGuard: { quarantineMs: () => 0, trialKey: () => undefined },
    partSuspicion: { hasSuspects: () => true, blockedUntilMs: () => 0 },
    partTrials: { tryStart: () => (isTrialRunning ? undefined : { end() {} }) },
  } as unknown as GatewayContext;
  const exchange = {
    sharedPartKeys: () => [],
    deadlineAtMs: clock.monotonicMs() + 10_000,
  } as unknown as Exchange;
  const pending = admitAfterCrashes(context, exchange, false, new AbortController().signal);
  await nextTurn();
  sender.write('x');
  blockEventLoop(800);
  t.like(await pending, { kind: 'admitted' });
});
