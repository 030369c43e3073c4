import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { sendFinalResponse } from '../../src/index.js';
import type { Exchange, ExchangeProgress, GatewayContext } from '../../src/index.js';
import { buildRoute } from '../support/builders.js';

// Without the count, a stream that this host cuts looks like one whose caller left.
test('a stream that ends before its last event is counted with the reason', (t) => {
  const counted: unknown[] = [];
  const context = {
    closing: new AbortController().signal,
    metrics: { increment: (...args: unknown[]) => counted.push(args) },
  } as unknown as GatewayContext;
  let aborts = 0;
  const exchange = {
    route: buildRoute({ idempotent: true, resumable: true }),
    responseWriter: {
      disconnected: new AbortController().signal,
      isStarted: () => true,
      abort() {
        aborts += 1;
      },
    },
  } as unknown as Exchange;
  const progress = {
    lastFailure: 'silent',
    stopCause: 'rate-limited',
  } as unknown as ExchangeProgress;
  t.is(sendFinalResponse(context, exchange, progress, false), 0);
  t.is(aborts, 1);
  const labels = { kind: 'resumable-stream', failure: 'silent', stop: 'rate-limited' };
  t.deepEqual(counted, [['incomplete_responses', labels]]);
});

// A host that relays the request must not take the reason for one of the whole region.
test('a rejection names the reason if this host has reached no server', (t) => {
  const codeOf = (progress: object): unknown => {
    let code: unknown;
    const exchange = {
      deadlineAtMs: 1_000,
      responseWriter: {
        disconnected: new AbortController().signal,
        isStarted: () => false,
        send(_status: number, _headers: readonly string[], body: Buffer) {
          ({ code } = (JSON.parse(body.toString()) as { error: { code: unknown } }).error);
        },
      },
    } as unknown as Exchange;
    const context = {
      closing: new AbortController().signal,
      clock: createManualClock(),
      codec: { retryAfterHeader: () => [] },
    } as unknown as GatewayContext;
    const rejected = { runs: 0, refusedConnects: 0, timedOutConnects: 0, causes: [] };
    sendFinalResponse(context, exchange, { ...rejected, ...progress } as never, false);
    return code;
  };
  const tried = { stopCause: 'not-repeatable', refusedConnects: 2 };
  t.is(codeOf({ stopCause: 'unreachable' }), 'servers-unreachable');
  t.is(codeOf({ stopCause: 'no-server' }), 'no-server');
  t.is(codeOf(tried), 'servers-unreachable');
  t.is(codeOf({ ...tried, hasArrived: true }), 'no-server');
  t.is(codeOf({ stopCause: 'not-repeatable', hasArrived: true }), 'no-server');
});
