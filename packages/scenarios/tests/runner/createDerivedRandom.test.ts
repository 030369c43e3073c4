import test from 'ava';
import { createDerivedRandom } from '../../src/runner/createDerivedRandom.js';

test('a seed and a part always give the same number; other parts and adjacent seeds give unrelated ones', (t) => {
  const first = (seed: number): number => createDerivedRandom(seed, 'step 1').next();
  t.is(first(7), first(7));
  t.not(first(7), createDerivedRandom(7, 'step 2').next());
  const halves = Array.from({ length: 200 }, (_, seed) => first(seed)).filter((n) => n < 0.5);
  t.true(halves.length > 60 && halves.length < 140, `${halves.length}`);
});
