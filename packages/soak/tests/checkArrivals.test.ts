import test from 'ava';
import { checkArrivals } from '../src/index.js';
import type { Arrival, FaultInterval } from '../src/index.js';

const buildArrival = (overrides: Partial<Arrival> = {}): Arrival => ({
  attemptId: 'a',
  target: '/safe/a',
  atMs: 1_000,
  zone: 'north-a',
  server: 'i-1',
  ...overrides,
});

const promisesOf = (
  arrivals: readonly Arrival[],
  faultIntervals: readonly FaultInterval[] = [],
): string[] => checkArrivals({ arrivals, faultIntervals }).map(({ promise }) => promise);

test('a bound request outside its home region is reported', (t) => {
  t.deepEqual(promisesOf([buildArrival({ target: '/bound/a', zone: 'south-a' })]), []);
  t.deepEqual(promisesOf([buildArrival({ target: '/bound/a' })]), ['home']);
});

test('a request in an evacuated zone is reported after the evacuation time limit', (t) => {
  const evacuation = {
    kind: 'evacuation',
    host: undefined,
    startedAtMs: 1_000,
    endedAtMs: 8_000,
    effectsEndAtMs: 11_000,
  };
  const busy = {
    ...evacuation,
    kind: 'store-busy',
    startedAtMs: 2_000,
    endedAtMs: 3_000,
    effectsEndAtMs: 5_000,
  };
  t.deepEqual(promisesOf([buildArrival({ atMs: 5_900 })], [evacuation]), []);
  t.deepEqual(promisesOf([buildArrival({ atMs: 6_100 })], [evacuation]), ['evacuation']);
  t.deepEqual(promisesOf([buildArrival({ atMs: 6_100, zone: 'south-a' })], [evacuation]), []);
  t.deepEqual(promisesOf([buildArrival({ atMs: 6_100 })], [evacuation, busy]), []);
  // Seed 330: a request after the end of the evacuation was reported, because the evacuation was
  // assumed to last until the end of its effects.
  t.deepEqual(promisesOf([buildArrival({ atMs: 8_008 })], [evacuation]), []);
});

test('more retries than the budget allows are reported', (t) => {
  const retries = (count: number, gapMs: number): Arrival[] =>
    Array.from({ length: count }, (_, index) => buildArrival({ atMs: index * gapMs }));
  t.deepEqual(promisesOf(retries(53, 10)), []);
  t.deepEqual(promisesOf(retries(54, 10)), ['budget']);
  t.deepEqual(promisesOf(retries(100, 500)), []);
});
