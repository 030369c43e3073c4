import test from 'ava';
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
