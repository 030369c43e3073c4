import { AttemptBrokenError, ConnectFailedError, ProgressTimeoutError } from '@camphorbarrow/core';
import type { EngineAnswer, EngineAttempt, EngineClient } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { SimulatedRequest } from './SimulatedRequest.js';
import { createEventStream } from './createEventStream.js';
import type { FakeEngine } from './createFakeEngine.js';

/** Interval at which a silent attempt that goes on is checked again. */
const RECHECK_INTERVAL_MS = 500;
/** Tokens per event after the first token. Fewer events shorten the runs. */
const TOKENS_PER_EVENT = 8;
const TOKEN_EVENT = '{"choices":[{"finish_reason":null}]}';
const LAST_EVENT = '{"choices":[{"finish_reason":"stop"}]}';

export interface FakeEngineClientOptions {
  readonly clock: VirtualClock;
  /** Delay between an entry host and a backend server, one way. */
  readonly oneWayMs: number;
  readonly engineAt: (baseUrl: string) => FakeEngine | undefined;
  readonly requestOf: (requestId: string) => SimulatedRequest | undefined;
  /** While true, the connection of every attempt breaks after the request was sent. */
  readonly allAttemptsFail: () => boolean;
}

/** Engine client of the fake engines. */
export function createFakeEngineClient(options: FakeEngineClientOptions): EngineClient {
  const { clock, oneWayMs } = options;

  async function connect(baseUrl: string): Promise<FakeEngine> {
    await clock.sleep(oneWayMs);
    const engine = options.engineAt(baseUrl);
    if (engine === undefined || !engine.isUp()) {
      await clock.sleep(oneWayMs);
      throw new ConnectFailedError('The connection was refused.');
    }
    return engine;
  }

  function startStream(
    engine: FakeEngine,
    attempt: EngineAttempt,
    request: SimulatedRequest,
    signal: AbortSignal,
  ): EngineAnswer {
    const stream = createEventStream();
    const startedAtMs = clock.monotonicMs();
    let lastProgressAtMs = startedAtMs;
    let open = true;
    const afterOneWay = (action: () => void): void =>
      clock.schedule(clock.monotonicMs() + oneWayMs, action);
    const { priority } = JSON.parse(attempt.body) as { priority: number };
    const cancel = engine.submit({
      priority,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      blockHashes: request.blockHashes,
      onCacheLookup: request.onCacheLookup,
      onToken: (tokenIndex) => {
        lastProgressAtMs = clock.monotonicMs();
        request.onToken(tokenIndex);
        if (tokenIndex % TOKENS_PER_EVENT === 0) {
          afterOneWay(() => stream.push(TOKEN_EVENT));
        }
      },
      onDone: () => {
        open = false;
        afterOneWay(() => {
          stream.push(LAST_EVENT);
          stream.push('[DONE]');
          stream.end();
        });
      },
      onBroken: () => {
        open = false;
        afterOneWay(() => stream.fail(new AttemptBrokenError('The connection broke.')));
      },
    });
    if (cancel === undefined) {
      return { kind: 'refused', statusCode: 429, retryAfterMs: undefined };
    }
    const stop = (error: unknown): void => {
      if (open) {
        open = false;
        cancel();
        stream.fail(error);
      }
    };
    const checkProgress = (): void => {
      if (!open) {
        return;
      }
      const timeoutMs =
        lastProgressAtMs === startedAtMs ? attempt.firstByteTimeoutMs : attempt.progressTimeoutMs;
      const timeoutAtMs = lastProgressAtMs + timeoutMs;
      if (clock.monotonicMs() >= timeoutAtMs) {
        const isStarted = lastProgressAtMs !== startedAtMs;
        if (!isStarted && attempt.mayTimeOut?.() === false) {
          clock.schedule(clock.monotonicMs() + RECHECK_INTERVAL_MS, checkProgress);
          return;
        }
        stop(new ProgressTimeoutError('The engine made no progress.'));
      } else {
        clock.schedule(timeoutAtMs, checkProgress);
      }
    };
    clock.schedule(lastProgressAtMs + attempt.firstByteTimeoutMs, checkProgress);
    const onAbort = (): void => stop(signal.reason);
    signal.addEventListener('abort', onAbort, { once: true });
    const events = stream.read(() => {
      signal.removeEventListener('abort', onAbort);
      stop(new AttemptBrokenError('The reader stopped reading.'));
    });
    return { kind: 'stream', events };
  }

  return {
    async start(attempt, signal) {
      const request = options.requestOf(attempt.requestId);
      const engine = await connect(attempt.baseUrl);
      signal.throwIfAborted();
      attempt.onBeforeSend();
      if (request === undefined || options.allAttemptsFail()) {
        request?.onAttempt(engine.serverId);
        await clock.sleep(oneWayMs);
        throw new AttemptBrokenError('The connection broke.');
      }
      request.onAttempt(engine.serverId);
      return startStream(engine, attempt, request, signal);
    },
    async readLoad(baseUrl) {
      const engine = await connect(baseUrl);
      const load = engine.readLoad();
      await clock.sleep(oneWayMs);
      return load;
    },
    async readCacheEvents(baseUrl, afterSequence) {
      const engine = await connect(baseUrl);
      const events = engine.cacheEventsAfter(afterSequence);
      await clock.sleep(oneWayMs);
      return events;
    },
    close: async () => undefined,
  };
}
