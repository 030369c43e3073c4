import type { IncomingMessage } from 'node:http';
import type { AnswerFacts } from '../model/AnswerFacts.js';
import { readWhole } from '../upstream/readWhole.js';
import type { Exchange } from './Exchange.js';
import { forwardEvents } from './forwardEvents.js';
import { stripHopHeaders } from './stripHopHeaders.js';
import type { TryResult } from './TryResult.js';

/** Largest answer that is held until it is whole. */
const MAX_WHOLE_BYTES = 8_388_608;
/** Status codes that promise that the request has not run. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MISDIRECTED = 421;

export interface ReceiveOptions {
  readonly exchange: Exchange;
  readonly response: IncomingMessage;
  readonly facts: AnswerFacts;
  readonly signal: AbortSignal;
  /** Called when the first event, or the head of another answer, has come. */
  readonly onBegun: () => void;
  /** Called with the number of events that arrived together. */
  readonly onEvents: (count: number) => void;
  readonly gapLimitMs: number | undefined;
}

/** Whether the bytes are a server's answer to this request and no other. */
function belongsTo(exchange: Exchange, facts: AnswerFacts): boolean {
  return facts.attemptId === exchange.facts.attemptId;
}

/**
 * Whether another server has the address now. It names itself, and does not know the request that
 * it did not run.
 */
function isMisdirected(status: number, facts: AnswerFacts): boolean {
  return status === MISDIRECTED && facts.attemptId === undefined && facts.serverId !== undefined;
}

async function receiveEvents(options: ReceiveOptions): Promise<TryResult> {
  const { exchange, response } = options;
  const { sink } = exchange;
  const status = response.statusCode ?? 0;
  const begin = (): void => {
    options.onBegun();
    if (!sink.isBegun()) {
      sink.begin(status, stripHopHeaders(response.rawHeaders));
    }
  };
  const result = await forwardEvents({
    response,
    sink,
    onFirstEvent: begin,
    onEvents: options.onEvents,
    gapLimitMs: options.gapLimitMs,
    signal: options.signal,
  });
  if (result.cause === 'cancelled') {
    return { kind: 'cancelled' };
  }
  if (result.complete) {
    begin();
    sink.end();
    return { kind: 'delivered', status };
  }
  return sink.isBegun()
    ? { kind: 'interrupted', lastEventId: result.lastEventId, cause: result.cause }
    : { kind: 'unknown', cause: result.cause };
}

async function receiveWhole(options: ReceiveOptions): Promise<TryResult> {
  const { exchange, response, signal } = options;
  const status = response.statusCode ?? 0;
  options.onBegun();
  const body = await readWhole(response, MAX_WHOLE_BYTES, signal);
  if (body === undefined) {
    return signal.aborted ? { kind: 'cancelled' } : { kind: 'unknown', cause: 'broken' };
  }
  const headers = stripHopHeaders(response.rawHeaders);
  if (status < 400) {
    exchange.sink.sendWhole(status, headers, body);
    return { kind: 'delivered', status };
  }
  // Passed on, the status would promise what the server does not: that nothing has run.
  return PROMISES_NOT_RUN.has(status)
    ? { kind: 'unknown', cause: `status ${status}` }
    : { kind: 'failed-run', answer: { status, headers, body } };
}

/** Takes a server's answer and forwards it when it is the right one. */
export async function receiveAnswer(options: ReceiveOptions): Promise<TryResult> {
  const { exchange, response, facts } = options;
  const status = response.statusCode ?? 0;
  if (isMisdirected(status, facts)) {
    response.resume();
    return { kind: 'not-run', cause: 'another server has the address', arrived: false };
  }
  if (!belongsTo(exchange, facts)) {
    response.destroy();
    return { kind: 'unknown', cause: 'foreign answer' };
  }
  if (facts.notRun || status === MISDIRECTED) {
    response.resume();
    return { kind: 'not-run', cause: `rejected with ${status}`, arrived: true };
  }
  const isSuccess = status >= 200 && status < 300;
  if (facts.encoded || (isSuccess && !facts.sealed)) {
    response.destroy();
    return { kind: 'unknown', cause: 'answer without proof of origin' };
  }
  return isSuccess && exchange.route.delivery === 'events'
    ? receiveEvents(options)
    : receiveWhole(options);
}
