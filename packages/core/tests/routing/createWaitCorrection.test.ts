import test from 'ava';
import { createWaitCorrection } from '../../src/routing/createWaitCorrection.js';

test('a wait that the estimates do not include is learned, by rank', (t) => {
  const correction = createWaitCorrection();
  for (let count = 0; count < 20; count += 1) {
    correction.observe('patient', 8_000, 100);
  }
  t.true(correction.waitMs('patient', 100) > 7_900);
  t.is(correction.waitMs('urgent', 100), 0);
});

test('an old correction decays, so that it does not cause requests to be forwarded forever', (t) => {
  const correction = createWaitCorrection();
  correction.observe('urgent', 60_000, 0);
  t.true(correction.waitMs('urgent', 120_000) < 10);
});

test('first tokens that arrive earlier than estimated never give a negative wait', (t) => {
  const correction = createWaitCorrection();
  correction.observe('urgent', -5_000, 0);
  t.is(correction.waitMs('urgent', 0), 0);
});
