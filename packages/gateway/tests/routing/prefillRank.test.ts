import test from 'ava';
import { prefillRank } from '../../src/index.js';

// An engine that prefills urgent prompts all the time starves the others: short requests of a less
// urgent route waited 6 s for their first event, and their callers disconnected.
test('a short prompt gets the most urgent rank', (t) => {
  t.is(prefillRank(2, 628), 0);
});

test('a long prompt keeps the rank of its route', (t) => {
  t.is(prefillRank(2, 2_890), 2);
  t.is(prefillRank(0, 2_890), 0);
});
