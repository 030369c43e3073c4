import test from 'ava';
import { lowestIdleTimeoutMs } from '../src/index.js';
import type { FaultInterval } from '../src/index.js';

const changes = [
  { atMs: 0, idleTimeoutMs: 3_000 },
  { atMs: 10_000, idleTimeoutMs: 600 },
  { atMs: 20_000, idleTimeoutMs: 6_000 },
];

const buildFault = (kind: string, startedAtMs: number, endedAtMs: number): FaultInterval => ({
  kind,
  host: 0,
  startedAtMs,
  endedAtMs,
  effectsEndAtMs: endedAtMs + 3_000,
});

const lowestAt = (atMs: number, faultIntervals: readonly FaultInterval[] = []): number =>
  lowestIdleTimeoutMs(changes, { fromMs: atMs, untilMs: atMs, faultIntervals });

test('a lowered idle timeout holds at once, a raised one 4 s after it was written', (t) => {
  t.is(lowestAt(9_999), 3_000);
  t.is(lowestAt(10_000), 600);
  t.is(lowestAt(23_999), 600);
  t.is(lowestAt(24_000), 6_000);
  t.is(lowestIdleTimeoutMs(changes, { fromMs: 9_000, untilMs: 10_100 }), 600, 'in a period');
});

test('only the time of a pause of the host is added, and a disturbed store starts it again', (t) => {
  const pause = buildFault('host-pause', 21_000, 22_500);
  t.is(lowestAt(25_499, [pause]), 600);
  t.is(lowestAt(25_500, [pause]), 6_000);
  const silence = buildFault('store-silent', 21_000, 22_500);
  t.is(lowestAt(29_499, [silence]), 600);
  t.is(lowestAt(29_500, [silence]), 6_000);
  t.is(lowestAt(24_000, [buildFault('host-pause', 24_000, 25_000)]), 6_000, 'afterwards');
  t.is(lowestAt(24_000, [buildFault('server-hang', 21_000, 22_500)]), 6_000, 'another fault');
});
