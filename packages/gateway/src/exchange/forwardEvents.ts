import type { IncomingMessage } from 'node:http';
import { startInputTimeout } from '@camphorbarrow/core';
import type { InputTimeout } from '@camphorbarrow/core';
import type { ResponseWriter } from './ResponseWriter.js';
import { hasFields, splitEvents } from './splitEvents.js';

/** Maximum number of bytes since the last complete event: a long event, or comments. */
const MAX_BYTES_BETWEEN_EVENTS = 1_048_576;

export interface ForwardEventsOptions {
  readonly response: IncomingMessage;
  readonly responseWriter: ResponseWriter;
  /** Whether the response continues a stream, so that it must have at least one event with an id. */
  readonly isContinuation: boolean;
  /** Called before the first event is forwarded. */
  readonly onFirstEvent: () => void;
  /** Called for each chunk that completes events, with their number. */
  readonly onEvents: (count: number) => void;
  /** Longest pause between events; undefined for no limit. */
  readonly maxEventGapMs: number | undefined;
  /** Checked after such a pause; while it returns true, the stream is not ended. */
  readonly keepWaiting?: () => boolean;
  readonly signal: AbortSignal;
}

export interface ForwardEventsResult {
  /** Whether the stream ended normally, and not inside an event. */
  readonly complete: boolean;
  readonly cause: 'end' | 'broken' | 'silent' | 'cancelled';
  readonly hasForwardedEvents: boolean;
  /** Id of the last forwarded event. */
  readonly lastEventId: string | undefined;
}

/**
 * Forwards the events of a stream as they arrive. A stream that ends inside an event is broken, even
 * if its framing is complete. The incomplete event is not forwarded, so that another server can
 * resume right after the last complete event. Comments are forwarded, but do not count as events:
 * they neither start the response nor end a pause.
 */
export async function forwardEvents(options: ForwardEventsOptions): Promise<ForwardEventsResult> {
  const { response, responseWriter, signal } = options;
  let remainder: Buffer = Buffer.alloc(0);
  /** Comments before the first event, which are forwarded with it. */
  let heldComments: Buffer[] = [];
  let bytesSinceEvent = 0;
  let lastEventId: string | undefined;
  let hasForwardedEvents = false;
  let cause: ForwardEventsResult['cause'] = 'broken';
  let gapTimeout: InputTimeout | undefined;

  const stop = (reason: ForwardEventsResult['cause']): void => {
    cause = reason;
    response.destroy();
  };
  const onAbort = (): void => stop('cancelled');

  function restartGapTimeout(): void {
    gapTimeout?.close();
    if (options.maxEventGapMs !== undefined) {
      gapTimeout = startInputTimeout(options.maxEventGapMs, () => {
        if (options.keepWaiting?.() === true) {
          restartGapTimeout();
        } else {
          stop('silent');
        }
      });
    }
  }

  async function forwardEvent(bytes: Buffer): Promise<void> {
    if (!hasForwardedEvents) {
      options.onFirstEvent();
      hasForwardedEvents = true;
    }
    gapTimeout?.close();
    await responseWriter.write(Buffer.concat([...heldComments, bytes]), signal);
    heldComments = [];
    restartGapTimeout();
  }

  async function forwardComment(bytes: Buffer): Promise<void> {
    if (hasForwardedEvents) {
      await responseWriter.write(bytes, signal);
    } else {
      heldComments.push(bytes);
    }
  }

  if (signal.aborted) {
    response.destroy();
    return {
      complete: false,
      cause: 'cancelled',
      hasForwardedEvents,
      lastEventId,
    };
  }
  signal.addEventListener('abort', onAbort, { once: true });
  restartGapTimeout();
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      bytesSinceEvent += chunk.length;
      const split = splitEvents(remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]));
      remainder = split.remainder;
      const isForeign =
        options.isContinuation && !hasForwardedEvents && split.hasFields && split.eventCount === 0;
      if (isForeign) {
        stop('broken');
      } else if (split.hasFields) {
        bytesSinceEvent = remainder.length;
        lastEventId = split.lastEventId ?? lastEventId;
        options.onEvents(split.eventCount);
        await forwardEvent(split.completeEvents);
      } else if (split.completeEvents.length > 0) {
        await forwardComment(split.completeEvents);
      }
      if (bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS) {
        stop('broken');
      }
    }
    const isEmptyContinuation = options.isContinuation && !hasForwardedEvents;
    if (response.complete && !hasFields(remainder) && !isEmptyContinuation) {
      cause = 'end';
      if (remainder.length > 0 || heldComments.length > 0) {
        await forwardEvent(remainder);
      }
    }
  } catch {
    // The connection broke or was destroyed above; `cause` holds the reason.
  } finally {
    gapTimeout?.close();
    signal.removeEventListener('abort', onAbort);
  }
  return { complete: cause === 'end', cause, hasForwardedEvents, lastEventId };
}
