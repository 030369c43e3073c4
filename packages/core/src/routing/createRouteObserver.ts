import type { Clock } from '../ports/Clock.js';
import type { EngineAttempt, EngineClient } from '../ports/EngineClient.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RouteChooser } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';
import type { FirstTokenEstimator } from './createFirstTokenEstimator.js';
import type { PrefixIndex } from './createPrefixIndex.js';
import type { ServerRates } from './createServerRates.js';
import type { WaitCorrection } from './createWaitCorrection.js';

export interface RouteObserverOptions {
  readonly clock: Clock;
  readonly index: PrefixIndex;
  readonly rates: ServerRates;
  readonly estimator: FirstTokenEstimator;
  readonly correction: WaitCorrection;
  readonly chooseRoute: RouteChooser;
  readonly engineClient: EngineClient;
}

/** Wrappers of a route chooser and an engine client that observe this entry host's own requests. */
export interface RouteObserver {
  readonly chooseRoute: RouteChooser;
  readonly engineClient: EngineClient;
}

interface PendingDispatch {
  readonly server: ServerView;
  readonly request: InferenceRequest;
  readonly cachedTokens: number;
  readonly queueMs: number;
  /** Estimated time to the first token. */
  readonly expectedMs: number;
  readonly chosenAtMs: number;
}

/** Maximum number of choices without a started attempt; the oldest are dropped first. */
const MAX_PENDING = 4_096;

const keyOf = (requestId: string, baseUrl: string): string => `${requestId} ${baseUrl}`;

/**
 * Creates the wrappers. They update the prefix index, the learned rates and the wait correction
 * from observed responses.
 */
export function createRouteObserver(options: RouteObserverOptions): RouteObserver {
  const { clock, index, rates, estimator } = options;
  const pending = new Map<string, PendingDispatch>();

  const chooseRoute: RouteChooser = (request, candidates, context) => {
    const cachedTokens = (server: ServerView): number =>
      index.cachedTokens(server.entry.serverId, request.blockHashes);
    const queueMsByServer = new Map(
      candidates.map((server) => [
        server.entry.serverId,
        estimator.queueMs(server, { ...context, rank: request.rank }),
      ]),
    );
    const server = options.chooseRoute(request, candidates, { ...context, cachedTokens });
    if (server === undefined) {
      return undefined;
    }
    const queueMs = queueMsByServer.get(server.entry.serverId) ?? 0;
    pending.set(keyOf(request.requestId, server.entry.baseUrl), {
      server,
      request,
      cachedTokens: cachedTokens(server),
      queueMs,
      expectedMs: queueMs + estimator.prefillMs(request, server, cachedTokens(server)),
      chosenAtMs: context.nowMs,
    });
    const [oldest] = pending.keys();
    if (pending.size > MAX_PENDING && oldest !== undefined) {
      pending.delete(oldest);
    }
    return server;
  };

  function removePending(attempt: EngineAttempt): PendingDispatch | undefined {
    const key = keyOf(attempt.requestId, attempt.baseUrl);
    const dispatch = pending.get(key);
    pending.delete(key);
    return dispatch;
  }

  async function* observeStream(
    events: AsyncIterable<string>,
    dispatch: PendingDispatch,
  ): AsyncGenerator<string, void> {
    const { serverId } = dispatch.server.entry;
    const { promptTokens, blockHashes } = dispatch.request;
    let firstTokenAtMs: number | undefined;
    for await (const data of events) {
      if (firstTokenAtMs === undefined) {
        firstTokenAtMs = clock.monotonicMs();
        rates.observeFirstToken({
          serverId,
          firstTokenMs: firstTokenAtMs - dispatch.chosenAtMs,
          promptTokens,
          cachedTokens: dispatch.cachedTokens,
          queueMs: dispatch.queueMs,
        });
        const errorMs = firstTokenAtMs - dispatch.chosenAtMs - dispatch.expectedMs;
        options.correction.observe(dispatch.request.rank, errorMs, firstTokenAtMs);
        index.addPrompt(serverId, blockHashes);
      }
      yield data;
    }
    if (firstTokenAtMs !== undefined) {
      const prefillMs = estimator.prefillMs(
        dispatch.request,
        dispatch.server,
        dispatch.cachedTokens,
      );
      rates.observeCompletion(serverId, clock.monotonicMs() - firstTokenAtMs + prefillMs);
    }
  }

  return {
    chooseRoute,
    engineClient: {
      ...options.engineClient,
      async start(attempt, signal) {
        const dispatch = removePending(attempt);
        const response = await options.engineClient.start(attempt, signal);
        if (dispatch === undefined || response.kind === 'refused') {
          return response;
        }
        if (response.kind === 'stream') {
          return { kind: 'stream', events: observeStream(response.events, dispatch) };
        }
        if (response.statusCode < 300) {
          index.addPrompt(dispatch.server.entry.serverId, dispatch.request.blockHashes);
        }
        return response;
      },
    },
  };
}
