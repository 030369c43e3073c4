import test from 'ava';
import { checkFalls } from '../src/index.js';
import type { Fall } from '../src/index.js';

/** Promises broken by falls of three servers; host 2 was disturbed. */
const brokenBy = (falls: readonly Fall[]): string[] =>
  checkFalls({
    falls,
    serverCount: 3,
    hostOf: (attemptId) => Number(attemptId),
    disturbedHost: 2,
  }).map(({ promise }) => promise);

test('more falls than tolerated are reported unless most rejections were of a disturbed host', (t) => {
  const counted: Fall = { server: 'i-1', rejected: ['0', '1', '2'] };
  const excused: Fall = { server: 'i-2', rejected: ['0', '2', '2'] };
  t.deepEqual(brokenBy([counted, counted]), []);
  t.deepEqual(brokenBy([counted, counted, excused]), []);
  t.deepEqual(brokenBy([counted, counted, counted]), ['brittle']);
});
