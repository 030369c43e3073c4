import { AttemptBrokenError, ConnectFailedError, ProgressTimeoutError } from '@camphorbarrow/core';
import type { EngineAnswer, EngineAttempt, EngineClient } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { SimulatedRequest } from './SimulatedRequest.js';
import { createEventStream } from './createEventStream.js';
import type { FakeEngine } from './createFakeEngine.js';

/** Tokens in one event after the first token; fewer events keep runs short. */
const TOKENS_PER_EVENT = 8;
const TOKEN_EVENT = '{"choices":[{"finish_reason":null}]}';
const LAST_EVENT = '{"choices":[{"finish_reason":"stop"}]}';

export interface FakeEngineClientOptions {
  readonly clock: VirtualClock;
  /** Delay between an entry host and a backend server, one way. */
  readonly oneWayMs: number;
  readonly engineAt: (baseUrl: string) => FakeEngine | undefined;
  readonly requestOf: (requestId: string) => SimulatedRequest | undefined;
  /** While true, every attempt breaks after it was sent. */
  readonly allAttemptsFail: () => boolean;
}

/** Engine port over fake engines. */
export function createFakeEngineClient(options: FakeEngineClientOptions): EngineClient {
  const { clock, oneWayMs } = options;

  async function reach(baseUrl: string): Promise<FakeEngine> {
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
    record: SimulatedRequest,
    signal: AbortSignal,
  ): EngineAnswer {
    const stream = createEventStream();
    const startedAtMs = clock.monotonicMs();
    let progressAtMs = startedAtMs;
    let open = true;
    const later = (action: () => void): void =>
      clock.schedule(clock.monotonicMs() + oneWayMs, action);
    const { priority } = JSON.parse(attempt.body) as { priority: number };
    const cancel = engine.submit({
      priority,
      promptTokens: record.promptTokens,
      outputTokens: record.outputTokens,
      blockHashes: record.blockHashes,
      onCacheLookup: record.onCacheLookup,
      onToken: (tokenIndex) => {
        progressAtMs = clock.monotonicMs();
        record.onToken(tokenIndex);
        if (tokenIndex % TOKENS_PER_EVENT === 0) {
          later(() => stream.push(TOKEN_EVENT));
        }
      },
      onDone: () => {
        open = false;
        later(() => {
          stream.push(LAST_EVENT);
          stream.push('[DONE]');
          stream.end();
        });
      },
      onBroken: () => {
        open = false;
        later(() => stream.fail(new AttemptBrokenError('The connection broke.')));
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
      const silenceMs =
        progressAtMs === startedAtMs ? attempt.firstByteTimeoutMs : attempt.progressTimeoutMs;
      const limitMs = progressAtMs + silenceMs;
      if (clock.monotonicMs() >= limitMs) {
        stop(new ProgressTimeoutError('The engine made no progress.'));
      } else {
        clock.schedule(limitMs, checkProgress);
      }
    };
    clock.schedule(progressAtMs + attempt.firstByteTimeoutMs, checkProgress);
    const onAbort = (): void => stop(signal.reason);
    signal.addEventListener('abort', onAbort, { once: true });
    const events = stream.read(() => {
      signal.removeEventListener('abort', onAbort);
      stop(new AttemptBrokenError('The reader stopped.'));
    });
    return { kind: 'stream', events };
  }

  return {
    async start(attempt, signal) {
      const record = options.requestOf(attempt.requestId);
      const engine = await reach(attempt.baseUrl);
      signal.throwIfAborted();
      attempt.onBeforeSend();
      if (record === undefined || options.allAttemptsFail()) {
        record?.onAttempt(engine.serverId);
        await clock.sleep(oneWayMs);
        throw new AttemptBrokenError('The connection broke.');
      }
      record.onAttempt(engine.serverId);
      return startStream(engine, attempt, record, signal);
    },
    async readLoad(baseUrl) {
      const engine = await reach(baseUrl);
      const load = engine.readLoad();
      await clock.sleep(oneWayMs);
      return load;
    },
    async readCacheEvents(baseUrl, afterSequence) {
      const engine = await reach(baseUrl);
      const events = engine.cacheEventsAfter(afterSequence);
      await clock.sleep(oneWayMs);
      return events;
    },
    close: async () => undefined,
  };
}
