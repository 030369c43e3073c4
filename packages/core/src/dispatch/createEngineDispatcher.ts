import { AttemptBrokenError } from '../errors/AttemptBrokenError.js';
import { TruncatedStreamError } from '../errors/TruncatedStreamError.js';
import type { InferenceAnswer } from '../gateway/InferenceAnswer.js';
import { requireCompleteStream } from '../gateway/requireCompleteStream.js';
import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { EngineAnswer, EngineClient } from '../ports/EngineClient.js';
import type { Quarantine, RunningRequest } from '../quarantine/createQuarantine.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServerView } from '../routing/ServerView.js';

export interface EngineDispatcherOptions {
  readonly registry: ServerRegistry;
  readonly engineClient: EngineClient;
  readonly quarantine: Quarantine;
}

/** Result of one attempt; a refusal is the engine's own and did not run. */
export type AttemptResult =
  InferenceAnswer | { readonly kind: 'refused'; readonly retryAfterMs: number | undefined };

export interface EngineDispatcher {
  /**
   * Runs one attempt at one engine and resolves when its answer begins. Rejects with
   * `ConnectFailedError`, `AttemptBrokenError`, `ProgressTimeoutError` or `TruncatedStreamError`;
   * the events of a stream may reject with the same errors later.
   */
  attempt(
    request: InferenceRequest,
    server: ServerView,
    signal: AbortSignal,
  ): Promise<AttemptResult>;
}

/** What has to end with an attempt, whatever its result. */
interface AttemptEnd {
  completed(): void;
  cancelled(): void;
  failed(cause: unknown): Promise<void>;
}

/** Passes a stream on whose first event has arrived, and reports how it ended. */
async function* superviseStream(
  first: string,
  rest: AsyncGenerator<string, void>,
  end: AttemptEnd,
): AsyncGenerator<string, void> {
  let completed = false;
  let failed = false;
  try {
    yield first;
    yield* rest;
    completed = true;
  } catch (cause) {
    failed = true;
    await end.failed(cause);
    throw cause;
  } finally {
    if (completed) {
      end.completed();
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

/** Creates the dispatch of attempts to engines, with load accounting and crash tracking. */
export function createEngineDispatcher(options: EngineDispatcherOptions): EngineDispatcher {
  const { registry, engineClient, quarantine } = options;

  function createEnd(release: () => void, running: RunningRequest): AttemptEnd {
    return {
      completed() {
        release();
        running.completed();
      },
      cancelled() {
        release();
        running.ended();
      },
      async failed(cause) {
        release();
        if (mayBeCrash(cause)) {
          await running.broken();
        } else {
          running.ended();
        }
      },
    };
  }

  function start(
    request: InferenceRequest,
    server: ServerView,
    signal: AbortSignal,
  ): Promise<EngineAnswer> {
    return engineClient.start(
      {
        baseUrl: server.entry.baseUrl,
        route: request.route,
        body: request.body,
        requestId: request.requestId,
        ...request.settings.timeouts,
        onPossiblyRun: () => undefined,
      },
      signal,
    );
  }

  async function begin(answer: EngineAnswer, end: AttemptEnd): Promise<AttemptResult> {
    if (answer.kind === 'refused') {
      end.cancelled();
      return answer;
    }
    if (answer.kind === 'plain') {
      end.completed();
      return answer;
    }
    const events = requireCompleteStream(answer.events);
    const first = await events.next();
    if (first.done === true) {
      throw new TruncatedStreamError('The stream ended before its first event.');
    }
    return { kind: 'stream', events: superviseStream(first.value, events, end) };
  }

  return {
    async attempt(request, server, signal) {
      const tokens = request.promptTokens + request.maxOutputTokens;
      const reservation = registry.reserve(server.entry.serverId, tokens);
      const running = quarantine.start(server, request.fingerprint);
      const end = createEnd(() => reservation.release(), running);
      try {
        return await begin(await start(request, server, signal), end);
      } catch (cause) {
        if (signal.aborted) {
          end.cancelled();
        } else {
          await end.failed(cause);
        }
        throw cause;
      }
    },
  };
}
