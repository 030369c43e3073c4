import { AttemptBrokenError } from '../errors/AttemptBrokenError.js';
import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { NoServerError } from '../errors/NoServerError.js';
import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { Clock } from '../ports/Clock.js';
import type { EngineAnswer, EngineClient } from '../ports/EngineClient.js';
import type { LogSink } from '../ports/LogSink.js';
import type { MetricsSink } from '../ports/MetricsSink.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RouteChooser } from '../routing/RouteChooser.js';
import type { ServerView } from '../routing/ServerView.js';
import type { InferenceAnswer } from './InferenceAnswer.js';
import { requireCompleteStream } from './requireCompleteStream.js';

export interface InferenceGatewayOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly registry: ServerRegistry;
  readonly engineClient: EngineClient;
  readonly chooseRoute: RouteChooser;
  readonly entryHostCount: () => number;
}

export interface InferenceGateway {
  /** Serves a request in this region. Rejects with a `RequestError`. */
  handle(request: InferenceRequest, signal: AbortSignal): Promise<InferenceAnswer>;
}

/** Yields the first event, already received, and then the rest. */
async function* prepend(
  first: string,
  rest: AsyncIterator<string>,
  onEnd: () => void,
): AsyncGenerator<string, void> {
  try {
    yield first;
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) {
      yield next.value;
    }
  } finally {
    await rest.return?.();
    onEnd();
  }
}

/** Creates the path of an inference request: route choice, dispatch, retry and stream checks. */
export function createInferenceGateway(options: InferenceGatewayOptions): InferenceGateway {
  const { clock, registry, metrics, log } = options;

  function candidatesFor(request: InferenceRequest, tried: ReadonlySet<string>): ServerView[] {
    return registry
      .servers()
      .filter(
        ({ entry, accepting }) =>
          accepting &&
          entry.kind === 'engine' &&
          entry.models.includes(request.model) &&
          !tried.has(entry.serverId),
      );
  }

  function startAttempt(
    request: InferenceRequest,
    server: ServerView,
    signal: AbortSignal,
  ): Promise<EngineAnswer> {
    const { connectTimeoutMs, progressTimeoutMs } = request.settings.timeouts;
    return options.engineClient.start(
      {
        baseUrl: server.entry.baseUrl,
        route: request.route,
        body: request.body,
        requestId: request.requestId,
        connectTimeoutMs,
        progressTimeoutMs,
        onPossiblyRun: () => undefined,
      },
      signal,
    );
  }

  async function attempt(
    request: InferenceRequest,
    server: ServerView,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const tokens = request.promptTokens + request.maxOutputTokens;
    const reservation = registry.reserve(server.entry.serverId, tokens);
    let streaming = false;
    try {
      const answer = await startAttempt(request, server, signal);
      if (answer.kind === 'refused') {
        return undefined;
      }
      if (answer.kind === 'plain') {
        return answer;
      }
      const events = requireCompleteStream(answer.events);
      const first = await events.next();
      if (first.done === true) {
        return undefined;
      }
      streaming = true;
      metrics.timingMs('first_token', clock.monotonicMs() - request.receivedAtMs, {
        rank: request.rank,
      });
      return { kind: 'stream', events: prepend(first.value, events, () => reservation.release()) };
    } finally {
      if (!streaming) {
        reservation.release();
      }
    }
  }

  return {
    async handle(request, signal) {
      const tried = new Set<string>();
      for (let count = 1; count <= request.settings.retry.maxAttempts; count += 1) {
        const server = options.chooseRoute(request, candidatesFor(request, tried), {
          nowMs: clock.monotonicMs(),
          random: options.random,
          entryHostCount: options.entryHostCount(),
          cachedTokens: () => 0,
        });
        if (server === undefined) {
          break;
        }
        tried.add(server.entry.serverId);
        try {
          const answer = await attempt(request, server, signal);
          if (answer !== undefined) {
            return answer;
          }
        } catch (cause) {
          signal.throwIfAborted();
          log.warn('attempt-failed', {
            requestId: request.requestId,
            serverId: server.entry.serverId,
            error: cause instanceof Error ? cause.name : 'unknown',
          });
          if (cause instanceof ConnectFailedError || cause instanceof AttemptBrokenError) {
            registry.markUnreachable(server.entry.serverId);
          }
        }
      }
      if (tried.size === 0) {
        throw new NoServerError(`No live backend server serves model ${request.model}.`);
      }
      throw new BackendFailedError('All attempts at backend servers failed.');
    },
  };
}
