import type { AdmissionController, HasFreeSlot } from '../admission/AdmissionController.js';
import type { DispatchQueue } from '../dispatch/createDispatchQueue.js';
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
  readonly dispatchQueue: DispatchQueue;
}

export interface InferenceGateway {
  /** Serves a request in this region. Rejects with a `RequestError`. */
  handle(request: InferenceRequest, signal: AbortSignal): Promise<InferenceAnswer>;
}

interface ServerSlot {
  readonly server: ServerView;
  /** Releases the slot at the server. */
  readonly release: () => void;
}

/** Attempts made so far for one request. */
interface AttemptState {
  readonly tried: Set<string>;
  /** Outcome to report if no further attempt succeeds. */
  outcome: Outcome;
  /** Whether the last attempt may have caused work at a server. */
  lastPossiblyRan: boolean;
  /** Whether the next retry was charged to the budget when the last attempt was given up. */
  isRetryGranted: boolean;
}

/** Creates the gateway for inference requests: admission, route choice, dispatch and retries. */
export function createInferenceGateway(options: InferenceGatewayOptions): InferenceGateway {
  const { admission, clock, dispatcher, registry, metrics, log, random, retryBudget } = options;
  const { quarantine, dispatchQueue } = options;

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

  /**
   * Two suspects of this entry host never run on the same server at once, so that a crash can be
   * attributed to one of them. Requests with the same suspected prompt part run one at a time.
   */
  function mayRunAt(request: InferenceRequest, { entry }: ServerView): boolean {
    const sharesServerWithSuspect =
      quarantine.isSuspect(request.fingerprint) && quarantine.hasRunningSuspect(entry.serverId);
    return !sharesServerWithSuspect && !quarantine.isOnTrial(request);
  }

  function reserveSlot(
    request: InferenceRequest,
    tried: ReadonlySet<string>,
    hasFreeSlot: HasFreeSlot,
  ): ServerSlot | undefined {
    const candidates = candidatesFor(request, tried);
    if (candidates.length === 0) {
      throw new NoServerError(`No live backend server serves model ${request.model}.`);
    }
    const availableServers = candidates.filter(
      (server) => hasFreeSlot(server) && mayRunAt(request, server),
    );
    const server = options.chooseRoute(request, availableServers, {
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

  /** A retry is charged to the budget only if the last attempt may have caused work at a server. */
  function mayRetry(request: InferenceRequest, attempts: AttemptState): boolean {
    if (attempts.isRetryGranted) {
      return true;
    }
    if (attempts.tried.size >= request.settings.retry.maxAttempts) {
      return false;
    }
    return !attempts.lastPossiblyRan || retryBudget.tryWithdraw(request);
  }

  /** Whether to end an attempt at a silent server, which may still go on: not without a retry. */
  function mayGiveUp(request: InferenceRequest, attempts: AttemptState): boolean {
    attempts.isRetryGranted =
      candidatesFor(request, attempts.tried).length > 0 && mayRetry(request, attempts);
    return attempts.isRetryGranted;
  }

  async function attempt(
    request: InferenceRequest,
    { server, release }: ServerSlot,
    attempts: AttemptState,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const dispatchedAtMs = clock.monotonicMs();
    let firstEventAtMs = dispatchedAtMs;
    const result = await dispatcher.attempt({
      request,
      server,
      signal,
      onBeforeSend() {
        attempts.lastPossiblyRan = true;
      },
      mayTimeOut: () => mayGiveUp(request, attempts),
      onEnd(outputEvents) {
        release();
        if (outputEvents !== undefined && outputEvents > 0) {
          admission.observe({
            serverId: server.entry.serverId,
            request,
            firstTokenMs: firstEventAtMs - dispatchedAtMs,
            decodeMs: clock.monotonicMs() - firstEventAtMs,
            outputEvents,
          });
        }
      },
    });
    if (result.kind === 'stream') {
      firstEventAtMs = clock.monotonicMs();
      if (request.sharedParts.length > 0) {
        // Requests that wait because they share a suspected prompt part may start now.
        admission.onSlotReleased();
      }
      metrics.timingMs('first_token', firstEventAtMs - request.receivedAtMs, {
        rank: request.rank,
      });
    }
    if (result.kind === 'refused') {
      attempts.lastPossiblyRan = false;
    }
    return result;
  }

  /** Makes one attempt; returns undefined when it failed and may be retried. */
  async function tryOnce(
    request: InferenceRequest,
    slot: ServerSlot,
    attempts: AttemptState,
    signal: AbortSignal,
  ): Promise<InferenceAnswer | undefined> {
    const { serverId } = slot.server.entry;
    const deadline = createDeadlineSignal(clock, signal, request.deadlineAtMs);
    try {
      const result = await attempt(request, slot, attempts, deadline.signal);
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
      deadline.close();
    }
  }

  async function admit(
    request: InferenceRequest,
    { tried, outcome }: AttemptState,
    signal: AbortSignal,
  ): Promise<ServerSlot> {
    try {
      quarantine.check(request, request.settings.quarantine.crashLimit);
      return await admission.admit(
        {
          request,
          retry: tried.size > 0,
          reserveSlot: (hasFreeSlot) => reserveSlot(request, tried, hasFreeSlot),
        },
        signal,
      );
    } catch (cause) {
      signal.throwIfAborted();
      // The error states that the request did not run, which may be false for earlier attempts.
      throw outcome === 'not-run'
        ? cause
        : new BackendFailedError('An attempt failed and its retry was not admitted.', { cause });
    }
  }

  async function waitBeforeRetry(
    request: InferenceRequest,
    attempts: AttemptState,
    signal: AbortSignal,
  ): Promise<void> {
    const props = { outcome: attempts.outcome };
    const delayMs = retryDelayMs(attempts.tried.size, random);
    if (clock.monotonicMs() + delayMs >= request.deadlineAtMs) {
      throw new DeadlineExceededError('The deadline leaves no time for another attempt.', {
        props,
      });
    }
    if (!mayRetry(request, attempts)) {
      throw new BackendFailedError('All attempts failed and no further retry is allowed.', {
        props,
      });
    }
    await clock.sleep(delayMs, signal);
  }

  return {
    async handle(request, signal) {
      const attempts: AttemptState = {
        tried: new Set(),
        outcome: 'not-run',
        lastPossiblyRan: false,
        isRetryGranted: false,
      };
      retryBudget.deposit(request);
      for (;;) {
        if (attempts.tried.size > 0) {
          await waitBeforeRetry(request, attempts, signal);
        }
        const slot = await admit(request, attempts, signal);
        await dispatchQueue.wait(signal);
        if (signal.aborted || !mayRunAt(request, slot.server)) {
          slot.release();
          signal.throwIfAborted();
          continue;
        }
        attempts.tried.add(slot.server.entry.serverId);
        attempts.lastPossiblyRan = false;
        attempts.isRetryGranted = false;
        const response = await tryOnce(request, slot, attempts, signal);
        if (response !== undefined) {
          return response;
        }
        attempts.outcome = attempts.lastPossiblyRan ? 'unknown' : attempts.outcome;
      }
    },
  };
}
