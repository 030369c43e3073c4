import type { IncomingMessage } from 'node:http';
import type { ResponseMetadata } from '../model/ResponseMetadata.js';
import { readFullBody } from '../upstream/readFullBody.js';
import type { Exchange } from './Exchange.js';
import { forwardEvents } from './forwardEvents.js';
import { stripHopByHopHeaders } from './stripHopByHopHeaders.js';
import type { AttemptResult } from './AttemptResult.js';

/** Largest answer that is held until it is whole. */
const MAX_WHOLE_BYTES = 8_388_608;
/** Status codes that promise that the request has not run. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MISDIRECTED = 421;

export interface ReceiveResponseOptions {
  readonly exchange: Exchange;
  readonly response: IncomingMessage;
  readonly metadata: ResponseMetadata;
  readonly signal: AbortSignal;
  /** Called when the first event, or the head of another answer, has come. */
  readonly onResponseStart: () => void;
  /** Called with the number of events that arrived together. */
  readonly onEvents: (count: number) => void;
  readonly maxEventGapMs: number | undefined;
}

/** Whether the bytes are a server's answer to this request and no other. */
function belongsTo(exchange: Exchange, facts: ResponseMetadata): boolean {
  return facts.attemptId === exchange.metadata.attemptId;
}

/**
 * Whether another server has the address now. It names itself, and does not know the request that
 * it did not run.
 */
function isMisdirected(status: number, facts: ResponseMetadata): boolean {
  return status === MISDIRECTED && facts.attemptId === undefined && facts.serverId !== undefined;
}

async function receiveEvents(options: ReceiveResponseOptions): Promise<AttemptResult> {
  const { exchange, response } = options;
  const { responseWriter: sink } = exchange;
  const status = response.statusCode ?? 0;
  const begin = (): void => {
    options.onResponseStart();
    if (!sink.isStarted()) {
      sink.writeHead(status, stripHopByHopHeaders(response.rawHeaders));
    }
  };
  const result = await forwardEvents({
    response,
    responseWriter: sink,
    onFirstEvent: begin,
    onEvents: options.onEvents,
    maxEventGapMs: options.maxEventGapMs,
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
  return sink.isStarted()
    ? { kind: 'interrupted', lastEventId: result.lastEventId, cause: result.cause }
    : { kind: 'unknown', cause: result.cause };
}

async function receiveWhole(options: ReceiveResponseOptions): Promise<AttemptResult> {
  const { exchange, response, signal } = options;
  const status = response.statusCode ?? 0;
  options.onResponseStart();
  const body = await readFullBody(response, MAX_WHOLE_BYTES, signal);
  if (body === undefined) {
    return signal.aborted ? { kind: 'cancelled' } : { kind: 'unknown', cause: 'broken' };
  }
  const headers = stripHopByHopHeaders(response.rawHeaders);
  if (status < 400) {
    exchange.responseWriter.send(status, headers, body);
    return { kind: 'delivered', status };
  }
  // Passed on, the status would promise what the server does not: that nothing has run.
  return PROMISES_NOT_RUN.has(status)
    ? { kind: 'unknown', cause: `status ${status}` }
    : { kind: 'failed-run', answer: { status, headers, body } };
}

/** Takes a server's answer and forwards it when it is the right one. */
export async function receiveResponse(options: ReceiveResponseOptions): Promise<AttemptResult> {
  const { exchange, response, metadata: facts } = options;
  const status = response.statusCode ?? 0;
  if (isMisdirected(status, facts)) {
    response.resume();
    return { kind: 'not-run', cause: 'another server has the address', reachedServer: false };
  }
  if (!belongsTo(exchange, facts)) {
    response.destroy();
    return { kind: 'unknown', cause: 'foreign answer' };
  }
  if (facts.notRun || status === MISDIRECTED) {
    response.resume();
    return { kind: 'not-run', cause: `rejected with ${status}`, reachedServer: true };
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
