import test from 'ava';
import { checkArrivals } from '../src/index.js';
import type { Arrival, FaultInterval } from '../src/index.js';

const buildArrival = (overrides: Partial<Arrival> = {}): Arrival => ({
  attemptId: 'a',
  target: '/safe/a',
  atMs: 1_000,
  zone: 'north-a',
  ...overrides,
});

const promisesOf = (
  arrivals: readonly Arrival[],
  disturbances: readonly FaultInterval[] = [],
): string[] =>
  checkArrivals({ arrivals, faultIntervals: disturbances }).map(({ promise }) => promise);

test('a bound request outside its home region is found', (t) => {
  t.deepEqual(promisesOf([buildArrival({ target: '/bound/a', zone: 'south-a' })]), []);
  t.deepEqual(promisesOf([buildArrival({ target: '/bound/a' })]), ['home']);
});

test('a request in an evacuated zone is found after the time to empty it', (t) => {
  const evacuation = {
    what: 'evacuation',
    host: undefined,
    fromMs: 1_000,
    endedAtMs: 8_000,
    toMs: 11_000,
  };
  const busy = { ...evacuation, what: 'store-busy', fromMs: 2_000, endedAtMs: 3_000, toMs: 5_000 };
  t.deepEqual(promisesOf([buildArrival({ atMs: 5_900 })], [evacuation]), []);
  t.deepEqual(promisesOf([buildArrival({ atMs: 6_100 })], [evacuation]), ['evacuation']);
  t.deepEqual(promisesOf([buildArrival({ atMs: 6_100, zone: 'south-a' })], [evacuation]), []);
  t.deepEqual(promisesOf([buildArrival({ atMs: 6_100 })], [evacuation, busy]), []);
  // Seed 330: the zone was in use again after the evacuation, which its aftermath counted in.
  t.deepEqual(promisesOf([buildArrival({ atMs: 8_008 })], [evacuation]), []);
});

test('more repeats than the budget allows are found', (t) => {
  const repeat = (count: number, gapMs: number): Arrival[] =>
    Array.from({ length: count }, (_, index) => buildArrival({ atMs: index * gapMs }));
  t.deepEqual(promisesOf(repeat(53, 10)), []);
  t.deepEqual(promisesOf(repeat(54, 10)), ['budget']);
  t.deepEqual(promisesOf(repeat(100, 500)), []);
});
