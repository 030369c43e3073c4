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

/** Route chooser and engine client that learn from this entry host's own requests. */
export interface RouteObserver {
  readonly chooseRoute: RouteChooser;
  readonly engineClient: EngineClient;
}

interface Dispatch {
  readonly server: ServerView;
  readonly request: InferenceRequest;
  readonly cachedTokens: number;
  readonly queueMs: number;
  /** Estimate of the first token. */
  readonly expectedMs: number;
  readonly atMs: number;
}

/** Choices that were not sent are dropped once this many newer ones exist. */
const MAX_PENDING = 4_096;

const keyOf = (requestId: string, baseUrl: string): string => `${requestId} ${baseUrl}`;

/** Creates a chooser and an engine client that feed the prefix index and the learned rates. */
export function createRouteObserver(options: RouteObserverOptions): RouteObserver {
  const { clock, index, rates, estimator } = options;
  const pending = new Map<string, Dispatch>();

  const chooseRoute: RouteChooser = (request, candidates, context) => {
    const cachedTokens = (server: ServerView): number =>
      index.cachedTokens(server.entry.serverId, request.blockHashes);
    const queues = new Map(
      candidates.map((server) => [
        server.entry.serverId,
        estimator.queueMs(server, { ...context, rank: request.rank }),
      ]),
    );
    const server = options.chooseRoute(request, candidates, { ...context, cachedTokens });
    if (server === undefined) {
      return undefined;
    }
    const queueMs = queues.get(server.entry.serverId) ?? 0;
    pending.set(keyOf(request.requestId, server.entry.baseUrl), {
      server,
      request,
      cachedTokens: cachedTokens(server),
      queueMs,
      expectedMs: queueMs + estimator.prefillMs(request, server, cachedTokens(server)),
      atMs: context.nowMs,
    });
    const [oldest] = pending.keys();
    if (pending.size > MAX_PENDING && oldest !== undefined) {
      pending.delete(oldest);
    }
    return server;
  };

  function take(attempt: EngineAttempt): Dispatch | undefined {
    const key = keyOf(attempt.requestId, attempt.baseUrl);
    const dispatch = pending.get(key);
    pending.delete(key);
    return dispatch;
  }

  async function* observe(
    events: AsyncIterable<string>,
    dispatch: Dispatch,
  ): AsyncGenerator<string, void> {
    const { serverId } = dispatch.server.entry;
    const { promptTokens, blockHashes } = dispatch.request;
    let firstAtMs: number | undefined;
    for await (const data of events) {
      if (firstAtMs === undefined) {
        firstAtMs = clock.monotonicMs();
        rates.observeFirstToken({
          serverId,
          firstTokenMs: firstAtMs - dispatch.atMs,
          promptTokens,
          cachedTokens: dispatch.cachedTokens,
          queueMs: dispatch.queueMs,
        });
        const errorMs = firstAtMs - dispatch.atMs - dispatch.expectedMs;
        options.correction.observe(dispatch.request.rank, errorMs, firstAtMs);
        index.addPrompt(serverId, blockHashes);
      }
      yield data;
    }
    if (firstAtMs !== undefined) {
      const prefillMs = estimator.prefillMs(
        dispatch.request,
        dispatch.server,
        dispatch.cachedTokens,
      );
      rates.observeCompletion(serverId, clock.monotonicMs() - firstAtMs + prefillMs);
    }
  }

  return {
    chooseRoute,
    engineClient: {
      ...options.engineClient,
      async start(attempt, signal) {
        const dispatch = take(attempt);
        const answer = await options.engineClient.start(attempt, signal);
        if (dispatch === undefined || answer.kind === 'refused') {
          return answer;
        }
        if (answer.kind === 'stream') {
          return { kind: 'stream', events: observe(answer.events, dispatch) };
        }
        if (answer.statusCode < 300) {
          index.addPrompt(dispatch.server.entry.serverId, dispatch.request.blockHashes);
        }
        return answer;
      },
    },
  };
}
