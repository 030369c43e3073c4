import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { createPrefixCacheTracker } from '../../src/index.js';

const part = (id: string, tokens: number) => ({ id, tokens });
const own = part('own', 50);

test('only parts whose predecessors are cached need not be read', (t) => {
  const book = createPrefixCacheTracker(createManualClock());
  book.recordPrompt('s', [part('a', 100), part('b', 200), own], 10_000);
  t.is(book.cachedTokens('s', [part('a', 100), part('b', 200), own]), 300);
  t.is(book.cachedTokens('s', [part('x', 100), part('b', 200), own]), 0);
  t.is(book.cachedTokens('other', [part('a', 100), own]), 0);
});

test('the parts used longest ago make way when the memory is full', (t) => {
  const book = createPrefixCacheTracker(createManualClock());
  book.recordPrompt('s', [part('a', 300), own], 1_000);
  book.recordPrompt('s', [part('b', 300), own], 1_000);
  book.recordPrompt('s', [part('c', 300), own], 1_000);
  t.is(book.cachedTokens('s', [part('a', 300), own]), 0);
  t.is(book.cachedTokens('s', [part('c', 300), own]), 300);
});

test('a part that an engine evicted is read again although it was sent there lately', (t) => {
  const clock = createManualClock();
  const book = createPrefixCacheTracker(clock);
  book.recordPrompt('s', [part('a', 100), part('b', 200), own], 10_000);
  book.applyReport('s', [{ partId: 'a', keptTokens: 100 }]);
  t.is(book.cachedTokens('s', [part('a', 100), part('b', 200), own]), 300, 'b is on its way');
  clock.advance(3_000);
  t.is(book.cachedTokens('s', [part('a', 100), part('b', 200), own]), 100, 'b never came');
  book.applyReport('s', [{ partId: 'a', keptTokens: 0 }]);
  t.is(book.cachedTokens('s', [part('a', 100), part('b', 200), own]), 0);
});

test('a part that is kept in part ends what is cached of the prompt', (t) => {
  const book = createPrefixCacheTracker(createManualClock());
  book.applyReport('s', [
    { partId: 'a', keptTokens: 60 },
    { partId: 'b', keptTokens: 200 },
  ]);
  t.is(book.cachedTokens('s', [part('a', 100), part('b', 200), own]), 60);
});
