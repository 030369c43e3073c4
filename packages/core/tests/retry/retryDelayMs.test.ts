import test from 'ava';
import { retryDelayMs } from '../../src/retry/retryDelayMs.js';

test('the delay limit doubles with each attempt up to a maximum, and the delay is randomized', (t) => {
  const maximum = { next: () => 1 };
  t.deepEqual(
    [1, 2, 3, 20].map((failed) => retryDelayMs(failed, maximum)),
    [50, 100, 200, 1_000],
  );
  t.is(retryDelayMs(3, { next: () => 0 }), 0);
});
