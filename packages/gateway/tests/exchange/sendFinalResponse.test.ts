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

interface FinalError {
  readonly status: number;
  readonly code: unknown;
  readonly outcome: unknown;
}

/** Ends an exchange whose attempts were all rejected, apart from what `progress` tells. */
function sendFinal(progress: object, isExpired = false, isClosing = false): FinalError {
  let error: object = {};
  const exchange = {
    deadlineAtMs: 1_000,
    responseWriter: {
      disconnected: new AbortController().signal,
      isStarted: () => false,
      send(_status: number, _headers: readonly string[], body: Buffer) {
        ({ error } = JSON.parse(body.toString()) as { error: object });
      },
    },
  } as unknown as Exchange;
  const context = {
    closing: isClosing ? AbortSignal.abort() : new AbortController().signal,
    clock: createManualClock(),
    codec: { retryAfterHeader: () => [] },
  } as unknown as GatewayContext;
  const rejected = { runs: 0, refusedConnects: 0, timedOutConnects: 0, causes: [] };
  const status = sendFinalResponse(
    context,
    exchange,
    { ...rejected, ...progress } as never,
    isExpired,
  );
  return { status, ...(error as Omit<FinalError, 'status'>) };
}

// A host that relays the request must not take the reason for one of the whole region.
test('a rejection names the reason if this host has reached no server', (t) => {
  const codeOf = (progress: object): unknown => sendFinal(progress).code;
  const tried = { stopCause: 'not-repeatable', refusedConnects: 2 };
  t.is(codeOf({ stopCause: 'unreachable' }), 'servers-unreachable');
  t.is(codeOf({ stopCause: 'no-server' }), 'no-server');
  t.is(codeOf(tried), 'servers-unreachable');
  t.is(codeOf({ ...tried, hasArrived: true }), 'no-server');
  t.is(codeOf({ stopCause: 'not-repeatable', hasArrived: true }), 'no-server');
});

// Callers may repeat an order only if it is known not to have run.
test('an order that no server received is known not to have run at its deadline', (t) => {
  const outcomeOf = (progress: object): unknown => sendFinal(progress, true).outcome;
  t.is(outcomeOf({ attempts: 0, mayHaveRun: false }), 'not-run');
  t.is(outcomeOf({ attempts: 2, mayHaveRun: false }), 'not-run');
  t.is(outcomeOf({ attempts: 2, mayHaveRun: true }), 'unknown');
  t.is(outcomeOf({ attempts: 2, mayHaveRun: true, runs: 1 }), 'unknown');
});

test('a host that shuts down tells callers of requests that no server received to retry', (t) => {
  const statusOf = (progress: object): number => sendFinal(progress, false, true).status;
  t.is(statusOf({ attempts: 0, mayHaveRun: false }), 503);
  t.is(statusOf({ attempts: 1, mayHaveRun: false }), 503);
  t.is(statusOf({ attempts: 1, mayHaveRun: true }), 502);
});
