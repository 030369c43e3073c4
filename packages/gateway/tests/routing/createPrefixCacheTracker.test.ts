import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { createPrefixCacheTracker } from '../../src/index.js';

const part = (id: string, tokens: number) => ({ id, tokens });
const own = part('own', 50);

test('a part counts as cached only if all parts before it are cached', (t) => {
  const tracker = createPrefixCacheTracker(createManualClock());
  tracker.recordPrompt('s', [part('a', 100), part('b', 200), own], 10_000);
  t.is(tracker.cachedTokens('s', [part('a', 100), part('b', 200), own]), 300);
  t.is(tracker.cachedTokens('s', [part('x', 100), part('b', 200), own]), 0);
  t.is(tracker.cachedTokens('other', [part('a', 100), own]), 0);
});

test('the least recently used parts are evicted when the cache is full', (t) => {
  const tracker = createPrefixCacheTracker(createManualClock());
  tracker.recordPrompt('s', [part('a', 300), own], 1_000);
  tracker.recordPrompt('s', [part('b', 300), own], 1_000);
  tracker.recordPrompt('s', [part('c', 300), own], 1_000);
  t.is(tracker.cachedTokens('s', [part('a', 300), own]), 0);
  t.is(tracker.cachedTokens('s', [part('c', 300), own]), 300);
});

test('a part that the engine reports as evicted does not count as cached, even if sent recently', (t) => {
  const clock = createManualClock();
  const tracker = createPrefixCacheTracker(clock);
  tracker.recordPrompt('s', [part('a', 100), part('b', 200), own], 10_000);
  tracker.applyReport('s', [{ partId: 'a', keptTokens: 100 }]);
  t.is(
    tracker.cachedTokens('s', [part('a', 100), part('b', 200), own]),
    300,
    'b was sent recently and is not confirmed yet',
  );
  clock.advance(3_000);
  t.is(
    tracker.cachedTokens('s', [part('a', 100), part('b', 200), own]),
    100,
    'b was not confirmed in time',
  );
  tracker.applyReport('s', [{ partId: 'a', keptTokens: 0 }]);
  t.is(tracker.cachedTokens('s', [part('a', 100), part('b', 200), own]), 0);
});

test('the cached prefix ends with the first partially cached part', (t) => {
  const tracker = createPrefixCacheTracker(createManualClock());
  tracker.applyReport('s', [
    { partId: 'a', keptTokens: 60 },
    { partId: 'b', keptTokens: 200 },
  ]);
  t.is(tracker.cachedTokens('s', [part('a', 100), part('b', 200), own]), 60);
});
