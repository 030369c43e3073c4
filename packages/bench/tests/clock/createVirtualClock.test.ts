import test from 'ava';
import fc from 'fast-check';
import { createVirtualClock } from '../../src/clock/createVirtualClock.js';

test('actions run in order of time, and at the same time in the order scheduled', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(fc.nat({ max: 20 }), { maxLength: 50 }), async (times) => {
      const clock = createVirtualClock();
      const seen: { atMs: number; index: number }[] = [];
      times.forEach((atMs, index) => clock.schedule(atMs, () => seen.push({ atMs, index })));
      await clock.runUntil(20);
      const expected = times
        .map((atMs, index) => ({ atMs, index }))
        .sort((a, b) => a.atMs - b.atMs || a.index - b.index);
      t.deepEqual(seen, expected);
    }),
  );
});

test('an aborted sleep rejects with the reason and does not advance the clock', async (t) => {
  const clock = createVirtualClock();
  const controller = new AbortController();
  const sleep = clock.sleep(100, controller.signal);
  const reason = new TypeError('stop');
  clock.schedule(50, () => controller.abort(reason));
  const [result] = await Promise.all([t.throwsAsync(sleep), clock.runUntil(60)]);
  t.is(result, reason);
  t.is(clock.monotonicMs(), 60);
});
