import test from 'ava';
import type { EngineClient } from '../../src/ports/EngineClient.js';
import { createFirstTokenEstimator } from '../../src/routing/createFirstTokenEstimator.js';
import { createPrefixIndex } from '../../src/routing/createPrefixIndex.js';
import { createRouteObserver } from '../../src/routing/createRouteObserver.js';
import { createServerRates } from '../../src/routing/createServerRates.js';
import { createWaitCorrection } from '../../src/routing/createWaitCorrection.js';
import { createSeededRandom } from '../../src/time/createSeededRandom.js';
import { createRequest, createServer, serverId } from './fixtures.js';

async function* streamOf(events: readonly string[]): AsyncGenerator<string, void> {
  yield* events;
}

const never = async (): Promise<never> => {
  throw new Error('not used');
};

function clientOf(events: readonly string[]): EngineClient {
  return {
    start: async () => ({ kind: 'stream', events: streamOf(events) }),
    readLoad: never,
    readCacheEvents: never,
    close: async () => {},
  };
}

async function dispatchOnce(events: readonly string[]): Promise<number> {
  const index = createPrefixIndex();
  const rates = createServerRates();
  const request = createRequest({ blockHashes: ['x', 'y'] });
  const observer = createRouteObserver({
    clock: { nowMs: () => 0, monotonicMs: () => 200, sleep: async () => {} },
    index,
    rates,
    correction: createWaitCorrection(),
    estimator: createFirstTokenEstimator(rates),
    chooseRoute: (_request, candidates) => candidates[0],
    engineClient: clientOf(events),
  });
  const random = createSeededRandom(1);
  const context = { nowMs: 0, random, entryHostCount: 1, cachedTokens: () => 0 };
  const server = observer.chooseRoute(request, [createServer('a')], context);
  const attempt = {
    baseUrl: String(server?.entry.baseUrl),
    route: request.route,
    body: request.body,
    requestId: request.requestId,
    connectTimeoutMs: 1,
    firstByteTimeoutMs: 1,
    progressTimeoutMs: 1,
    onBeforeSend: () => {},
  };
  const response = await observer.engineClient.start(attempt, new AbortController().signal);
  if (response.kind === 'stream') {
    for await (const data of response.events) {
      void data;
    }
  }
  return index.cachedTokens(serverId('a'), request.blockHashes);
}

test('a prompt counts as cached once its first token has arrived', async (t) => {
  t.is(await dispatchOnce(['{}']), 512);
});

test('the prompt of an attempt without a first token does not count as cached', async (t) => {
  t.is(await dispatchOnce([]), 0);
});
