import test from 'ava';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { asId } from '../../src/ids/asId.js';
import type { Clock } from '../../src/ports/Clock.js';
import type { ServerView } from '../../src/routing/ServerView.js';
import { createCacheEventPoller } from '../../src/routing/createCacheEventPoller.js';
import { createPrefixIndex } from '../../src/routing/createPrefixIndex.js';
import { createServer, serverId } from './fixtures.js';

const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

function createClock(): Clock & { readonly sleptMs: number[] } {
  const sleptMs: number[] = [];
  return {
    sleptMs,
    nowMs: () => 0,
    monotonicMs: () => 0,
    sleep: async (durationMs) => {
      sleptMs.push(durationMs);
    },
  };
}

test('a failing server stops neither the polling nor the other servers', async (t) => {
  const clock = createClock();
  const index = createPrefixIndex();
  index.addPrompt(serverId('broken'), ['x']);
  const poller = createCacheEventPoller({
    clock,
    log: silentLog,
    index,
    servers: () => [createServer('broken'), createServer('works')],
    readCacheEvents: async ({ serverId: id }) => {
      if (id === serverId('broken')) {
        throw new ConnectFailedError('refused');
      }
      return [{ sequence: 1, kind: 'stored', blockHash: 'x' }];
    },
    maxPollsPerSecond: 4,
  });
  await poller.pollOnce();
  await poller.pollOnce();
  t.is(index.cachedTokens(serverId('works'), ['x']), 256);
  t.is(index.cachedTokens(serverId('broken'), ['x']), 128);
  t.deepEqual(clock.sleptMs, [250, 250, 250, 250]);
});

test('the events of a restarted engine are read from the start of its new sequence', async (t) => {
  const index = createPrefixIndex();
  const requestedSequences: number[] = [];
  let server: ServerView = createServer('a');
  const poller = createCacheEventPoller({
    clock: createClock(),
    log: silentLog,
    index,
    servers: () => [server],
    readCacheEvents: async (_entry, afterSequence) => {
      requestedSequences.push(afterSequence);
      return [{ sequence: afterSequence + 1, kind: 'stored', blockHash: `b${afterSequence}` }];
    },
  });
  await poller.pollOnce();
  await poller.pollOnce();
  server = createServer('a', { incarnation: asId('second') });
  await poller.pollOnce();
  t.deepEqual(requestedSequences, [0, 1, 0]);
  t.is(index.cachedTokens(serverId('a'), ['b1']), 0);
});
