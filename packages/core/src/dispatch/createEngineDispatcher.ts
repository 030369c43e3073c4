import { AttemptBrokenError } from '../errors/AttemptBrokenError.js';
import { TruncatedStreamError } from '../errors/TruncatedStreamError.js';
import type { InferenceAnswer } from '../gateway/InferenceAnswer.js';
import { requireCompleteStream } from '../gateway/requireCompleteStream.js';
import type { Clock } from '../ports/Clock.js';
import type { EngineAnswer, EngineClient } from '../ports/EngineClient.js';
import type { Quarantine, RunningRequest } from '../quarantine/createQuarantine.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServerView } from '../routing/ServerView.js';

export interface EngineDispatcherOptions {
  readonly clock: Clock;
  readonly engineClient: EngineClient;
  readonly quarantine: Quarantine;
}

/** One attempt to run a request on one engine. */
export interface DispatchedAttempt {
  readonly request: InferenceRequest;
  readonly server: ServerView;
  readonly signal: AbortSignal;
  /** Called immediately before the first byte is written to the connection. */
  readonly onBeforeSend: () => void;
  /** Whether the attempt is given up when no first byte arrives in time. @default always */
  readonly mayTimeOut?: () => boolean;
  /**
   * Called once when the attempt ends. `completeEvents` is the number of events of a complete
   * response (zero when it was not streamed) and undefined when there was no complete response.
   */
  readonly onEnd: (completeEvents: number | undefined) => void;
}

/** Result of one attempt. `refused` means that the engine did not run the request. */
export type AttemptResult =
  InferenceAnswer | { readonly kind: 'refused'; readonly retryAfterMs: number | undefined };

export interface EngineDispatcher {
  /**
   * Runs one attempt and resolves when its response starts. Rejects with `ConnectFailedError`,
   * `AttemptBrokenError`, `ProgressTimeoutError` or `TruncatedStreamError`. Reading the events of a
   * stream may reject with the same errors.
   */
  attempt(attempt: DispatchedAttempt): Promise<AttemptResult>;
}

/** Reports how far an attempt came, and releases its slot when it ends. */
interface AttemptFinalizer {
  started(): void;
  completed(events: number): void;
  cancelled(): void;
  failed(cause: unknown): Promise<void>;
}

/** Forwards a stream whose first event has arrived, and finalizes the attempt when it ends. */
async function* superviseStream(
  first: string,
  rest: AsyncGenerator<string, void>,
  finalizer: AttemptFinalizer,
): AsyncGenerator<string, void> {
  let events = 1;
  let completed = false;
  let failed = false;
  try {
    yield first;
    for await (const event of rest) {
      events += 1;
      yield event;
    }
    completed = true;
  } catch (cause) {
    failed = true;
    await finalizer.failed(cause);
    throw cause;
  } finally {
    if (completed) {
      finalizer.completed(events);
    } else if (!failed) {
      finalizer.cancelled();
    }
  }
}

function isPossibleCrash(cause: unknown): boolean {
  return (
    cause instanceof TruncatedStreamError ||
    (cause instanceof AttemptBrokenError && cause.crashSuspected)
  );
}

function createFinalizer({ onEnd }: DispatchedAttempt, running: RunningRequest): AttemptFinalizer {
  return {
    started: running.markStarted,
    completed(events) {
      onEnd(events);
      running.markCompleted();
    },
    cancelled() {
      onEnd(undefined);
      running.markEnded();
    },
    async failed(cause) {
      onEnd(undefined);
      if (isPossibleCrash(cause)) {
        await running.reportBroken();
      } else {
        running.markEnded();
      }
    },
  };
}

async function toResult(
  response: EngineAnswer,
  finalizer: AttemptFinalizer,
): Promise<AttemptResult> {
  if (response.kind === 'refused') {
    finalizer.cancelled();
    return response;
  }
  if (response.kind === 'plain') {
    finalizer.completed(0);
    return response;
  }
  const events = requireCompleteStream(response.events);
  const first = await events.next();
  if (first.done === true) {
    throw new TruncatedStreamError('The stream ended before its first event.');
  }
  finalizer.started();
  return { kind: 'stream', events: superviseStream(first.value, events, finalizer) };
}

/** Creates the dispatcher, which reports running and crashed attempts to the quarantine. */
export function createEngineDispatcher(options: EngineDispatcherOptions): EngineDispatcher {
  const { clock, engineClient, quarantine } = options;

  /**
   * Timeout for the first byte of the response. An engine sends nothing during prefill, and nothing
   * before the response is complete when it does not stream. For streams, half of the remaining
   * time is kept for a retry, because a dead connection is detected only by this timeout.
   */
  function firstByteTimeoutMs(request: InferenceRequest): number {
    const nowMs = clock.monotonicMs();
    const remainingMs = Math.max(1, request.deadlineAtMs - nowMs);
    if (!request.streamed) {
      return remainingMs;
    }
    const untilFirstTokenDueMs = Math.max(0, request.firstTokenDueAtMs - nowMs);
    const { progressTimeoutMs } = request.settings.timeouts;
    return Math.min(remainingMs / 2, untilFirstTokenDueMs + progressTimeoutMs);
  }

  function start({
    request,
    server,
    signal,
    onBeforeSend,
    mayTimeOut,
  }: DispatchedAttempt): Promise<EngineAnswer> {
    const { connectTimeoutMs, progressTimeoutMs } = request.settings.timeouts;
    return engineClient.start(
      {
        baseUrl: server.entry.baseUrl,
        route: request.route,
        body: request.body,
        requestId: request.requestId,
        connectTimeoutMs,
        firstByteTimeoutMs: firstByteTimeoutMs(request),
        progressTimeoutMs,
        mayTimeOut,
        onBeforeSend,
      },
      signal,
    );
  }

  return {
    async attempt(attempt) {
      const running = quarantine.trackRequest(attempt.server, attempt.request);
      const finalizer = createFinalizer(attempt, running);
      try {
        return await toResult(await start(attempt), finalizer);
      } catch (cause) {
        if (attempt.signal.aborted) {
          finalizer.cancelled();
        } else {
          await finalizer.failed(cause);
        }
        throw cause;
      }
    },
  };
}
