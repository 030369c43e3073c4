import test from 'ava';
import fc from 'fast-check';
import type { CacheEvent } from '../../src/ports/CacheEvent.js';
import { createPrefixIndex } from '../../src/routing/createPrefixIndex.js';
import { serverId } from './fixtures.js';

const a = serverId('a');
const TOKENS_PER_BLOCK = 256;

function stored(sequence: number, blockHash: string): CacheEvent {
  return { sequence, kind: 'stored', blockHash };
}

test('only a contiguous prefix counts as cached, not the blocks after a gap', (t) => {
  const index = createPrefixIndex();
  index.applyEvents(a, [stored(1, 'x'), stored(2, 'z')]);
  t.is(index.cachedTokens(a, ['x', 'y', 'z']), TOKENS_PER_BLOCK);
  t.is(index.cachedTokens(serverId('b'), ['x']), 0);
});

test('after a gap in the events, older entries count less until they are confirmed', (t) => {
  const index = createPrefixIndex();
  index.applyEvents(a, [stored(1, 'x'), stored(2, 'y')]);
  index.applyEvents(a, [stored(5, 'q')]);
  t.is(index.cachedTokens(a, ['x', 'y']), TOKENS_PER_BLOCK);
  index.applyEvents(a, [stored(6, 'x')]);
  t.is(index.cachedTokens(a, ['x']), TOKENS_PER_BLOCK);
  index.addPrompt(a, ['x', 'y']);
  t.is(index.cachedTokens(a, ['x', 'y']), 2 * TOKENS_PER_BLOCK);
});

test('a repeated or late event does not restore a removed block', (t) => {
  const index = createPrefixIndex();
  index.applyEvents(a, [stored(1, 'x'), { sequence: 2, kind: 'removed', blockHash: 'x' }]);
  index.applyEvents(a, [stored(1, 'x')]);
  t.is(index.cachedTokens(a, ['x']), 0);
});

test('a removed server has no cached tokens, and its event sequence starts again', (t) => {
  const index = createPrefixIndex();
  index.applyEvents(a, [stored(1, 'x'), stored(2, 'y')]);
  index.removeServer(a);
  t.is(index.cachedTokens(a, ['x']), 0);
  index.applyEvents(a, [stored(1, 'y')]);
  t.is(index.cachedTokens(a, ['y']), TOKENS_PER_BLOCK);
});

test('the index stays within its size limits for arbitrary events', (t) => {
  const kind = fc.constantFrom('stored' as const, 'removed' as const, 'cleared' as const);
  const event = fc.record({ sequence: fc.nat(200), kind, blockHash: fc.string({ maxLength: 2 }) });
  const batch = fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.array(event));
  fc.assert(
    fc.property(fc.array(batch), (batches) => {
      const index = createPrefixIndex({ maxEntries: 12, maxEntriesPerServer: 6 });
      batches.forEach(([name, events]) => {
        index.applyEvents(serverId(name), events);
        index.addPrompt(
          serverId(name),
          events.map(({ blockHash }) => blockHash),
        );
        t.true(index.entryCount() >= 0 && index.entryCount() <= 12);
      });
    }),
    { seed: 20_261_204 },
  );
});
