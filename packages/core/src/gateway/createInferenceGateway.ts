import { AttemptBrokenError } from '../errors/AttemptBrokenError.js';
import type { AdmissionController, HasRoom } from '../admission/AdmissionController.js';
import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import { NoServerError } from '../errors/NoServerError.js';
import type { Outcome } from '../errors/Outcome.js';
import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { Clock } from '../ports/Clock.js';
import type { EngineAnswer, EngineClient } from '../ports/EngineClient.js';
import type { LogSink } from '../ports/LogSink.js';
import type { MetricsSink } from '../ports/MetricsSink.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RetryBudget } from '../retry/RetryBudget.js';
import { retryDelayMs } from '../retry/retryDelayMs.js';
import type { RouteChooser } from '../routing/RouteChooser.js';
import type { ServerView } from '../routing/ServerView.js';
import type { InferenceAnswer } from './InferenceAnswer.js';
import { createDeadlineSignal } from './createDeadlineSignal.js';
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
  readonly admission: AdmissionController;
  readonly retryBudget: RetryBudget;
}

interface AttemptProgress {
  /** Whether a byte of the attempt may have reached the server. */
  possiblyRun: boolean;
}

export interface InferenceGateway {
  /** Serves a request in this region. Rejects with a `RequestError`. */
  handle(request: InferenceRequest, signal: AbortSignal): Promise<InferenceAnswer>;
}

interface Placement {
  readonly server: ServerView;
  /** Gives the place at the server back; may be called more than once. */
  readonly release: () => void;
}

/** Yields the first event, already received, and then the rest; `onEnd` gets their number. */
async function* prepend(
  first: string,
  rest: AsyncIterator<string>,
  onEnd: (events: number, complete: boolean) => void,
): AsyncGenerator<string, void> {
  let events = 1;
  let complete = false;
  try {
    yield first;
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) {
      events += 1;
      yield next.value;
    }
    complete = true;
  } finally {
    await rest.return?.();
    onEnd(events, complete);
  }
}

/** Creates the path of an inference request: admission, route choice, dispatch and retry. */
export function createInferenceGateway(options: InferenceGatewayOptions): InferenceGateway {
  const { admission, clock, registry, metrics, log, random, retryBudget } = options;

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

  function place(
    request: InferenceRequest,
    tried: ReadonlySet<string>,
    hasRoom: HasRoom,
  ): Placement | undefined {
    const candidates = candidatesFor(request, tried);
    if (candidates.length === 0) {
      throw new NoServerError(`No live backend server serves model ${request.model}.`);
    }
    const server = options.chooseRoute(request, candidates.filter(hasRoom), {
      nowMs: clock.monotonicMs(),
      random,
      entryHostCount: options.entryHostCount(),
      cachedTokens: () => 0,
    });
    if (server === undefined) {
      return undefined;
    }
    const tokens = request.promptTokens + request.maxOutputTokens;
    const reservation = registry.reserve(server.entry.serverId, tokens);
    const release = (): void => {
      reservation.release();
      admission.released();
    };
    return { server, release };
  }

  function startAttempt(
    request: InferenceRequest,
    server: ServerView,
    progress: AttemptProgress,
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
        onPossiblyRun: () => {
          progress.possiblyRun = true;
        },
      },
      signal,
    );
  }

  async function attempt(
    request: InferenceRequest,
    { server, release }: Placement,
    progress: AttemptProgress,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const dispatchedAtMs = clock.monotonicMs();
    let streaming = false;
    try {
      const answer = await startAttempt(request, server, progress, signal);
      if (answer.kind === 'refused') {
        progress.possiblyRun = false;
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
      const firstAtMs = clock.monotonicMs();
      metrics.timingMs('first_token', firstAtMs - request.receivedAtMs, { rank: request.rank });
      const onEnd = (outputEvents: number, complete: boolean): void => {
        if (complete) {
          admission.observe({
            serverId: server.entry.serverId,
            request,
            firstTokenMs: firstAtMs - dispatchedAtMs,
            decodeMs: clock.monotonicMs() - firstAtMs,
            outputEvents,
          });
        }
        release();
      };
      return { kind: 'stream', events: prepend(first.value, events, onEnd) };
    } finally {
      if (!streaming) {
        release();
      }
    }
  }

  /** One attempt; undefined when it failed and another one may follow. */
  async function tryOnce(
    request: InferenceRequest,
    placement: Placement,
    progress: AttemptProgress,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const { serverId } = placement.server.entry;
    const limit = createDeadlineSignal(clock, signal, request.deadlineAtMs);
    try {
      return await attempt(request, placement, progress, limit.signal);
    } catch (cause) {
      signal.throwIfAborted();
      const error = cause instanceof Error ? cause.name : 'unknown';
      log.warn('attempt-failed', { requestId: request.requestId, serverId, error });
      if (cause instanceof ConnectFailedError || cause instanceof AttemptBrokenError) {
        registry.markUnreachable(serverId);
      }
      return undefined;
    } finally {
      limit.close();
    }
  }

  async function admit(
    request: InferenceRequest,
    tried: ReadonlySet<string>,
    outcome: Outcome,
    signal: AbortSignal,
  ): Promise<Placement> {
    try {
      return await admission.admit(
        { request, retry: tried.size > 0, place: (hasRoom) => place(request, tried, hasRoom) },
        signal,
      );
    } catch (cause) {
      signal.throwIfAborted();
      // A refusal says that nothing ran, which may not be true of the earlier attempts.
      throw outcome === 'not-run'
        ? cause
        : new BackendFailedError('Attempts failed and a retry has no place.', { cause });
    }
  }

  async function waitBeforeRetry(
    request: InferenceRequest,
    failedAttempts: number,
    outcome: Outcome,
    signal: AbortSignal,
  ): Promise<void> {
    const delayMs = retryDelayMs(failedAttempts, random);
    if (clock.monotonicMs() + delayMs >= request.deadlineAtMs) {
      throw new DeadlineExceededError('The deadline leaves no time for an attempt.', {
        props: { outcome },
      });
    }
    if (failedAttempts >= request.settings.retry.maxAttempts || !retryBudget.spend(request)) {
      throw new BackendFailedError('Attempts failed and no retry is left.', { props: { outcome } });
    }
    await clock.sleep(delayMs, signal);
  }

  return {
    async handle(request, signal) {
      const tried = new Set<string>();
      let outcome: Outcome = 'not-run';
      retryBudget.earn(request);
      for (let failedAttempts = 0; ; failedAttempts += 1) {
        if (failedAttempts > 0) {
          await waitBeforeRetry(request, failedAttempts, outcome, signal);
        }
        const placement = await admit(request, tried, outcome, signal);
        tried.add(placement.server.entry.serverId);
        const progress: AttemptProgress = { possiblyRun: false };
        const answer = await tryOnce(request, placement, progress, signal);
        if (answer !== undefined) {
          return answer;
        }
        outcome = progress.possiblyRun ? 'unknown' : outcome;
      }
    },
  };
}
