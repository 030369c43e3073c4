import type { IncomingMessage } from 'node:http';
import { createBodyScope, startInputTimeout } from '@camphorbarrow/core';
import type { BodyBuffer, BodyBuffers, InputTimeout } from '@camphorbarrow/core';
import type { ResponseWriter } from './ResponseWriter.js';
import { describeEvents, endOfLastEvent, hasFields } from './describeEvents.js';
import { readInSteps } from './readInSteps.js';

/** Maximum number of bytes since the last complete event: a long event, or comments. */
const MAX_BYTES_BETWEEN_EVENTS = 1_048_576;

export interface ForwardEventsOptions {
  readonly response: IncomingMessage;
  readonly responseWriter: ResponseWriter;
  /** Holds the bytes that are not forwarded yet. */
  readonly bodies: BodyBuffers;
  /** Whether the response continues a stream, so that it must have at least one event with an id. */
  readonly isContinuation: boolean;
  /** Whether such a response may have no event: the events before it may be the whole stream. */
  readonly mayBeEmpty?: boolean;
  /**
   * Id of the last event that the caller has, in this response or from an earlier one; the events
   * must come after it. Undefined or empty if it has none.
   */
  readonly lastEventId?: string | undefined;
  /** Called before the first event is forwarded. */
  readonly onFirstEvent: () => void;
  /**
   * Called with the first event, which is held until the result is known; false ends the stream
   * without it.
   */
  readonly admitFirstEvent?: () => boolean | Promise<boolean>;
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
  readonly cause: 'end' | 'broken' | 'silent' | 'cancelled' | 'not-admitted' | 'out-of-order';
  readonly hasForwardedEvents: boolean;
  /** Id of the first forwarded event. */
  readonly firstEventId: string | undefined;
  /** Id of the last forwarded event. */
  readonly lastEventId: string | undefined;
}

/**
 * Forwards the events of a stream as they arrive. A stream that ends inside an event is broken, even
 * if its framing is complete. The incomplete event is not forwarded, so that another server can
 * resume right after the last complete event. Nor is an event whose id does not come after those
 * before it: the server sends events again, or these are late bytes of another response. Comments are
 * forwarded, but do not count as events: they neither start the response nor end a pause.
 */
export function forwardEvents(options: ForwardEventsOptions): Promise<ForwardEventsResult> {
  const { response, responseWriter, signal } = options;
  const scope = createBodyScope(options.bodies);
  const previousId = options.lastEventId === '' ? undefined : options.lastEventId;
  let bytesSinceEvent = 0;
  let firstEventId: string | undefined;
  let lastEventId: string | undefined;
  let hasForwardedEvents = false;
  let cause: ForwardEventsResult['cause'] = 'broken';
  let gapTimeout: InputTimeout | undefined;
  let isStopped = false;

  const stop = (reason: ForwardEventsResult['cause']): void => {
    cause = reason;
    isStopped = true;
    response.destroy();
  };
  const onAbort = (): void => stop('cancelled');
  // The chunk that completes an event may exceed the limit on the bytes before it.
  const openBuffer = (): BodyBuffer =>
    scope.open({ maxBytes: 2 * MAX_BYTES_BETWEEN_EVENTS, onEvicted: () => stop('broken') });
  /** Start of an event that is not complete yet. */
  const remainder = openBuffer();
  /** Comments before the first event, which are forwarded with it. */
  const heldComments = openBuffer();

  /** Keeps bytes for later; a stream that does not fit is ended. */
  function keep(buffer: BodyBuffer, bytes: Buffer): void {
    if (bytes.length > 0 && buffer.append(bytes) !== 'kept') {
      stop('broken');
    }
  }

  /** Adds a chunk and removes the events that are complete, which may be none. */
  function takeCompleteEvents(chunk: Buffer): Buffer {
    const keptBytes = remainder.sizeBytes();
    if (keptBytes === 0) {
      const end = endOfLastEvent(chunk, 0);
      keep(remainder, chunk.subarray(end));
      return chunk.subarray(0, end);
    }
    keep(remainder, chunk);
    // Earlier bytes hold no end of an event.
    return remainder.take(endOfLastEvent(remainder.bytes(), keptBytes));
  }

  function stopGapTimeout(): void {
    gapTimeout?.close();
    gapTimeout = undefined;
  }

  function restartGapTimeout(): void {
    if (gapTimeout !== undefined) {
      gapTimeout.restart();
    } else if (options.maxEventGapMs !== undefined) {
      gapTimeout = startInputTimeout(options.maxEventGapMs, () => {
        if (options.keepWaiting?.() === true) {
          restartGapTimeout();
        } else {
          stop('silent');
        }
      });
    }
  }

  /** Whether the events may be forwarded; waits for no turn of the event loop without need. */
  function admitEvents(): boolean | Promise<boolean> {
    if (hasForwardedEvents || options.admitFirstEvent === undefined) {
      return true;
    }
    stopGapTimeout();
    return options.admitFirstEvent();
  }

  function forwardEvent(bytes: Buffer): Promise<void> | undefined {
    if (!hasForwardedEvents) {
      options.onFirstEvent();
      hasForwardedEvents = true;
    }
    const heldBytes = heldComments.sizeBytes();
    const written = responseWriter.write(
      heldBytes === 0 ? bytes : Buffer.concat([heldComments.take(heldBytes), bytes]),
      signal,
    );
    if (written === undefined) {
      restartGapTimeout();
      return undefined;
    }
    stopGapTimeout();
    return written.then(restartGapTimeout);
  }

  function forwardComment(bytes: Buffer): Promise<void> | undefined {
    if (hasForwardedEvents) {
      return responseWriter.write(bytes, signal);
    }
    keep(heldComments, bytes);
    return undefined;
  }

  function limitBytesBetweenEvents(): void {
    if (bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS) {
      stop('broken');
    }
  }

  function forwardChunk(chunk: Buffer): Promise<void> | undefined {
    bytesSinceEvent += chunk.length;
    const completeEvents = takeCompleteEvents(chunk);
    const events = describeEvents(completeEvents, lastEventId ?? previousId);
    const isOrdered = events.orderedBytes === completeEvents.length;
    // A response begins with an event whose place is known, unless nothing went before it.
    const isForeign =
      !hasForwardedEvents &&
      events.firstEventId === undefined &&
      (!isOrdered || (events.hasFields && options.isContinuation));
    const orderedEvents = completeEvents.subarray(0, events.orderedBytes);

    function forward(isAdmitted: boolean): Promise<void> | undefined {
      if (!isAdmitted) {
        stop('not-admitted');
      } else if (events.hasFields && !signal.aborted) {
        bytesSinceEvent = remainder.sizeBytes();
        firstEventId ??= events.firstEventId;
        lastEventId = events.lastEventId ?? lastEventId;
        options.onEvents(events.eventCount);
        return forwardEvent(orderedEvents);
      } else if (orderedEvents.length > 0) {
        return forwardComment(orderedEvents);
      }
      return undefined;
    }

    function finish(): void {
      if (!isOrdered && !isStopped) {
        stop('out-of-order');
      }
      limitBytesBetweenEvents();
    }

    if (isForeign) {
      stop('out-of-order');
      return undefined;
    }
    const admitted = !events.hasFields || admitEvents();
    const forwarded = typeof admitted === 'boolean' ? forward(admitted) : admitted.then(forward);
    if (forwarded !== undefined) {
      return forwarded.then(finish);
    }
    finish();
    return undefined;
  }

  /** Has another version end the stream no more than continue it. */
  async function admitEmptyRest(): Promise<void> {
    const isAdmitted = await admitEvents();
    if (!isStopped) {
      cause = isAdmitted ? 'end' : 'not-admitted';
    }
  }

  function forwardRest(): Promise<void> | undefined {
    const rest = remainder.take(remainder.sizeBytes());
    if (isStopped || !response.complete || hasFields(rest)) {
      return undefined;
    }
    if (options.isContinuation && !hasForwardedEvents) {
      return options.mayBeEmpty === true ? admitEmptyRest() : undefined;
    }
    cause = 'end';
    return rest.length > 0 || heldComments.sizeBytes() > 0 ? forwardEvent(rest) : undefined;
  }

  if (signal.aborted) {
    stop('cancelled');
  } else {
    signal.addEventListener('abort', onAbort, { once: true });
    restartGapTimeout();
  }
  return readInSteps(response, forwardChunk, forwardRest).then(() => {
    stopGapTimeout();
    signal.removeEventListener('abort', onAbort);
    scope.release();
    return { complete: cause === 'end', cause, hasForwardedEvents, firstEventId, lastEventId };
  });
}
