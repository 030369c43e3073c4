import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { createHeldLimit } from '../../src/ingress/createHeldLimit.js';

test('a higher limit holds at once', (t) => {
  const limit = createHeldLimit(createManualClock());
  t.is(limit.apply(500), 500);
  t.is(limit.apply(3_000), 3_000);
});

test('a lower limit holds when the previous one has passed', (t) => {
  const clock = createManualClock();
  const limit = createHeldLimit(clock);
  limit.apply(3_000);
  t.is(limit.apply(500), 3_000);
  clock.advance(2_900);
  t.is(limit.apply(400), 3_000);
  clock.advance(200);
  t.is(limit.apply(400), 400);
});

test('a limit that is lowered and raised again holds on', (t) => {
  const clock = createManualClock();
  const limit = createHeldLimit(clock);
  limit.apply(3_000);
  limit.apply(500);
  t.is(limit.apply(4_000), 4_000);
  clock.advance(3_500);
  t.is(limit.apply(4_000), 4_000);
});
