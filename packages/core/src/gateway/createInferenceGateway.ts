import type { AdmissionController, HasFreeSlot } from '../admission/AdmissionController.js';
import type { AttemptResult, EngineDispatcher } from '../dispatch/createEngineDispatcher.js';
import { AttemptBrokenError } from '../errors/AttemptBrokenError.js';
import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import { NoServerError } from '../errors/NoServerError.js';
import type { Outcome } from '../errors/Outcome.js';
import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { Clock } from '../ports/Clock.js';
import type { LogSink } from '../ports/LogSink.js';
import type { MetricsSink } from '../ports/MetricsSink.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { Quarantine } from '../quarantine/createQuarantine.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RetryBudget } from '../retry/RetryBudget.js';
import { retryDelayMs } from '../retry/retryDelayMs.js';
import type { RouteChooser } from '../routing/RouteChooser.js';
import type { ServerView } from '../routing/ServerView.js';
import type { InferenceAnswer } from './InferenceAnswer.js';
import { createDeadlineSignal } from './createDeadlineSignal.js';

export interface InferenceGatewayOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly registry: ServerRegistry;
  readonly dispatcher: EngineDispatcher;
  readonly quarantine: Quarantine;
  readonly chooseRoute: RouteChooser;
  readonly entryHostCount: () => number;
  readonly admission: AdmissionController;
  readonly retryBudget: RetryBudget;
}

export interface InferenceGateway {
  /** Serves a request in this region. Rejects with a `RequestError`. */
  handle(request: InferenceRequest, signal: AbortSignal): Promise<InferenceAnswer>;
}

interface Placement {
  readonly server: ServerView;
  /** Gives the place at the server back. */
  readonly release: () => void;
}

/** Attempts of one request so far. */
interface Attempts {
  readonly tried: Set<string>;
  /** Outcome to report when no further attempt succeeds. */
  outcome: Outcome;
  /** Whether the last attempt may have cost a server work. */
  lastPossiblyRan: boolean;
}

/** Creates the path of an inference request: admission, route choice, dispatch and retry. */
export function createInferenceGateway(options: InferenceGatewayOptions): InferenceGateway {
  const { admission, clock, dispatcher, registry, metrics, log, random, retryBudget } = options;
  const { quarantine } = options;

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
    hasRoom: HasFreeSlot,
  ): Placement | undefined {
    const candidates = candidatesFor(request, tried);
    if (candidates.length === 0) {
      throw new NoServerError(`No live backend server serves model ${request.model}.`);
    }
    // Two suspects never share a server, so that a crash tells which of them causes it.
    const isSuspect = quarantine.isSuspect(request.fingerprint);
    const available = candidates.filter(
      (server) =>
        hasRoom(server) && !(isSuspect && quarantine.hasRunningSuspect(server.entry.serverId)),
    );
    const server = options.chooseRoute(request, available, {
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
      admission.onSlotReleased();
    };
    return { server, release };
  }

  async function attempt(
    request: InferenceRequest,
    { server, release }: Placement,
    attempts: Attempts,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const dispatchedAtMs = clock.monotonicMs();
    let firstAtMs = dispatchedAtMs;
    const result = await dispatcher.attempt({
      request,
      server,
      signal,
      onBeforeSend() {
        attempts.lastPossiblyRan = true;
      },
      onEnd(outputEvents) {
        release();
        if (outputEvents !== undefined && outputEvents > 0) {
          admission.observe({
            serverId: server.entry.serverId,
            request,
            firstTokenMs: firstAtMs - dispatchedAtMs,
            decodeMs: clock.monotonicMs() - firstAtMs,
            outputEvents,
          });
        }
      },
    });
    if (result.kind === 'stream') {
      firstAtMs = clock.monotonicMs();
      metrics.timingMs('first_token', firstAtMs - request.receivedAtMs, { rank: request.rank });
    }
    if (result.kind === 'refused') {
      attempts.lastPossiblyRan = false;
    }
    return result;
  }

  /** One attempt; undefined when it failed and another one may follow. */
  async function tryOnce(
    request: InferenceRequest,
    placement: Placement,
    attempts: Attempts,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const { serverId } = placement.server.entry;
    const limit = createDeadlineSignal(clock, signal, request.deadlineAtMs);
    try {
      const result = await attempt(request, placement, attempts, limit.signal);
      return result.kind === 'refused' ? undefined : result;
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
    { tried, outcome }: Attempts,
    signal: AbortSignal,
  ): Promise<Placement> {
    try {
      quarantine.check(request.fingerprint, request.settings.quarantine.crashLimit);
      return await admission.admit(
        {
          request,
          retry: tried.size > 0,
          reserveSlot: (hasRoom) => place(request, tried, hasRoom),
        },
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

  /** A retry after an attempt that cost no server any work is not charged to the budget. */
  function mayRetry(request: InferenceRequest, { tried, lastPossiblyRan }: Attempts): boolean {
    if (tried.size >= request.settings.retry.maxAttempts) {
      return false;
    }
    return !lastPossiblyRan || retryBudget.tryWithdraw(request);
  }

  async function waitBeforeRetry(
    request: InferenceRequest,
    attempts: Attempts,
    signal: AbortSignal,
  ): Promise<void> {
    const props = { outcome: attempts.outcome };
    const delayMs = retryDelayMs(attempts.tried.size, random);
    if (clock.monotonicMs() + delayMs >= request.deadlineAtMs) {
      throw new DeadlineExceededError('The deadline leaves no time for an attempt.', { props });
    }
    if (!mayRetry(request, attempts)) {
      throw new BackendFailedError('Attempts failed and no retry is left.', { props });
    }
    await clock.sleep(delayMs, signal);
  }

  return {
    async handle(request, signal) {
      const attempts: Attempts = { tried: new Set(), outcome: 'not-run', lastPossiblyRan: false };
      retryBudget.deposit(request);
      for (;;) {
        if (attempts.tried.size > 0) {
          await waitBeforeRetry(request, attempts, signal);
        }
        const placement = await admit(request, attempts, signal);
        attempts.tried.add(placement.server.entry.serverId);
        attempts.lastPossiblyRan = false;
        const answer = await tryOnce(request, placement, attempts, signal);
        if (answer !== undefined) {
          return answer;
        }
        attempts.outcome = attempts.lastPossiblyRan ? 'unknown' : attempts.outcome;
      }
    },
  };
}
