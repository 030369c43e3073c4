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

/** One attempt at one engine. */
export interface DispatchedAttempt {
  readonly request: InferenceRequest;
  readonly server: ServerView;
  readonly signal: AbortSignal;
  /** Called immediately before the first byte is written to the connection. */
  readonly onBeforeSend: () => void;
  /** Called once when the attempt has ended, with the number of events of a complete stream. */
  readonly onEnd: (completeEvents: number | undefined) => void;
}

/** Result of one attempt; a refusal is the engine's own and did not run. */
export type AttemptResult =
  InferenceAnswer | { readonly kind: 'refused'; readonly retryAfterMs: number | undefined };

export interface EngineDispatcher {
  /**
   * Runs one attempt and resolves when its answer begins. Rejects with `ConnectFailedError`,
   * `AttemptBrokenError`, `ProgressTimeoutError` or `TruncatedStreamError`; the events of a stream
   * may reject with the same errors later.
   */
  attempt(attempt: DispatchedAttempt): Promise<AttemptResult>;
}

/** What has to end with an attempt, whatever its result. */
interface AttemptEnd {
  completed(events: number): void;
  cancelled(): void;
  failed(cause: unknown): Promise<void>;
}

/** Passes a stream on whose first event has arrived, and reports how it ended. */
async function* superviseStream(
  first: string,
  rest: AsyncGenerator<string, void>,
  end: AttemptEnd,
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
    await end.failed(cause);
    throw cause;
  } finally {
    if (completed) {
      end.completed(events);
    } else if (!failed) {
      end.cancelled();
    }
  }
}

function mayBeCrash(cause: unknown): boolean {
  return (
    cause instanceof TruncatedStreamError ||
    (cause instanceof AttemptBrokenError && cause.crashSuspected)
  );
}

function createEnd({ onEnd }: DispatchedAttempt, running: RunningRequest): AttemptEnd {
  return {
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
      if (mayBeCrash(cause)) {
        await running.reportBroken();
      } else {
        running.markEnded();
      }
    },
  };
}

async function begin(answer: EngineAnswer, end: AttemptEnd): Promise<AttemptResult> {
  if (answer.kind === 'refused') {
    end.cancelled();
    return answer;
  }
  if (answer.kind === 'plain') {
    end.completed(0);
    return answer;
  }
  const events = requireCompleteStream(answer.events);
  const first = await events.next();
  if (first.done === true) {
    throw new TruncatedStreamError('The stream ended before its first event.');
  }
  return { kind: 'stream', events: superviseStream(first.value, events, end) };
}

/** Creates the dispatch of attempts to engines, with crash tracking. */
export function createEngineDispatcher(options: EngineDispatcherOptions): EngineDispatcher {
  const { clock, engineClient, quarantine } = options;

  /**
   * Longest silence before the first byte. An engine is silent while it reads a long prompt, and
   * until the whole answer exists when it does not stream. Half of the remaining time is kept for
   * a retry, since a connection that has gone silent is found only by this limit.
   */
  function firstByteTimeoutMs(request: InferenceRequest): number {
    const nowMs = clock.monotonicMs();
    const remainingMs = Math.max(1, request.deadlineAtMs - nowMs);
    if (!request.streamed) {
      return remainingMs;
    }
    const untilDueMs = Math.max(0, request.firstTokenDueAtMs - nowMs);
    const { progressTimeoutMs } = request.settings.timeouts;
    return Math.min(remainingMs / 2, untilDueMs + progressTimeoutMs);
  }

  function start({
    request,
    server,
    signal,
    onBeforeSend: onPossiblyRun,
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
        onBeforeSend: onPossiblyRun,
      },
      signal,
    );
  }

  return {
    async attempt(attempt) {
      const running = quarantine.trackRequest(attempt.server, attempt.request.fingerprint);
      const end = createEnd(attempt, running);
      try {
        return await begin(await start(attempt), end);
      } catch (cause) {
        if (attempt.signal.aborted) {
          end.cancelled();
        } else {
          await end.failed(cause);
        }
        throw cause;
      }
    },
  };
}
