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

// A host that relays the request must not take the reason for one of the whole region.
test('a rejection names the reason if this host has reached no server', (t) => {
  const codeOf = (progress: object, relayedBy?: string): unknown => {
    let code: unknown;
    const exchange = {
      relayedBy,
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
      codec: { retryAfterHeader: () => [] },
    } as unknown as GatewayContext;
    const rejected = { runs: 0, attempts: 0, hasArrived: false, causes: [], retryAfterMs: 500 };
    sendFinalResponse(context, exchange, { ...rejected, ...progress } as never, false);
    return code;
  };
  const tried = { stopCause: 'not-repeatable', attempts: 4 };
  t.is(codeOf({ stopCause: 'unreachable' }), 'servers-unreachable');
  t.is(codeOf({ stopCause: 'no-server' }, 'host-2'), 'no-server');
  t.is(codeOf(tried, 'host-2'), 'servers-unreachable');
  t.is(codeOf(tried), 'no-server');
  t.is(codeOf({ ...tried, hasArrived: true }, 'host-2'), 'no-server');
});
