import test from 'ava';
import { retryDelayMs } from '../../src/retry/retryDelayMs.js';

test('the delay grows with the attempts up to a limit and is spread by the random source', (t) => {
  const latest = { next: () => 1 };
  t.deepEqual(
    [1, 2, 3, 20].map((failed) => retryDelayMs(failed, latest)),
    [50, 100, 200, 1_000],
  );
  t.is(retryDelayMs(3, { next: () => 0 }), 0);
});
