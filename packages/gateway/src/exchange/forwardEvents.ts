import type { IncomingMessage } from 'node:http';
import type { ResponseWriter } from './ResponseWriter.js';
import { splitEvents } from './splitEvents.js';

/** Largest event that is held until it is complete. */
const MAX_EVENT_BYTES = 1_048_576;

export interface ForwardEventsOptions {
  readonly response: IncomingMessage;
  readonly responseWriter: ResponseWriter;
  /** Called before the first event is forwarded. */
  readonly onFirstEvent: () => void;
  /** Called with the number of events that arrived together. */
  readonly onEvents: (count: number) => void;
  /** Longest pause between events; undefined for no limit. */
  readonly maxEventGapMs: number | undefined;
  readonly signal: AbortSignal;
}

export interface ForwardEventsResult {
  /** Whether the stream came to its proper end. */
  readonly complete: boolean;
  readonly cause: 'end' | 'broken' | 'silent' | 'cancelled';
  readonly hasForwardedEvents: boolean;
  /** Id of the last event that was forwarded. */
  readonly lastEventId: string | undefined;
}

/**
 * Forwards a stream as its events arrive. An event that breaks off in the middle is not forwarded,
 * so that another server may go on exactly behind the last whole one.
 */
export async function forwardEvents(options: ForwardEventsOptions): Promise<ForwardEventsResult> {
  const { response, responseWriter: sink, signal } = options;
  let rest: Buffer = Buffer.alloc(0);
  let lastEventId: string | undefined;
  let forwardedEvents = false;
  let cause: ForwardEventsResult['cause'] = 'broken';
  let gapTimer: NodeJS.Timeout | undefined;

  const stop = (why: ForwardEventsResult['cause']): void => {
    cause = why;
    response.destroy();
  };
  const onAbort = (): void => stop('cancelled');

  function watchGap(): void {
    clearTimeout(gapTimer);
    if (options.maxEventGapMs !== undefined) {
      gapTimer = setTimeout(() => stop('silent'), options.maxEventGapMs);
    }
  }

  async function forward(bytes: Buffer): Promise<void> {
    if (!forwardedEvents) {
      options.onFirstEvent();
      forwardedEvents = true;
    }
    clearTimeout(gapTimer);
    await sink.write(bytes);
    watchGap();
  }

  if (signal.aborted) {
    response.destroy();
    return {
      complete: false,
      cause: 'cancelled',
      hasForwardedEvents: forwardedEvents,
      lastEventId,
    };
  }
  signal.addEventListener('abort', onAbort, { once: true });
  watchGap();
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      const split = splitEvents(rest.length === 0 ? chunk : Buffer.concat([rest, chunk]));
      rest = split.remainder;
      if (split.completeEvents.length > 0) {
        lastEventId = split.lastEventId ?? lastEventId;
        options.onEvents(split.eventCount);
        await forward(split.completeEvents);
      }
      if (rest.length > MAX_EVENT_BYTES) {
        stop('broken');
      }
    }
    if (response.complete) {
      cause = 'end';
      if (rest.length > 0) {
        await forward(rest);
      }
    }
  } catch {
    // The connection broke or was ended above; `cause` tells which.
  } finally {
    clearTimeout(gapTimer);
    signal.removeEventListener('abort', onAbort);
  }
  return { complete: cause === 'end', cause, hasForwardedEvents: forwardedEvents, lastEventId };
}
