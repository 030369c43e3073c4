import test from 'ava';
import { checkNotices } from '../src/index.js';
import type { Arrival, CallRecord, FaultInterval, PausingRejection } from '../src/index.js';

const buildCall = (attemptId: string, overrides: Partial<CallRecord> = {}): CallRecord => ({
  attemptId,
  kind: 'safe',
  host: 0,
  startedAtMs: 1_000,
  endedAtMs: 1_010,
  left: false,
  status: 200,
  complete: true,
  leavingServer: undefined,
  responseAttemptId: attemptId,
  eventIds: [],
  ...overrides,
});

const buildArrival = (attemptId: string, overrides: Partial<Arrival> = {}): Arrival => ({
  attemptId,
  target: `/safe/${attemptId}`,
  atMs: 1_005,
  zone: 'north-a',
  server: 'i-1',
  ...overrides,
});

const buildFault = (kind: string, host: number | undefined): FaultInterval => ({
  kind,
  host,
  startedAtMs: 1_100,
  endedAtMs: 1_200,
  effectsEndAtMs: 1_300,
});

const leaving = buildCall('a', { leavingServer: 'i-1' });

/** Promises broken by a request at this time after a response said that the server leaves. */
function afterLeaving(
  startedAtMs: number,
  call: Partial<CallRecord> = {},
  arrival: Partial<Arrival> = {},
  faultIntervals: readonly FaultInterval[] = [],
): string[] {
  return checkNotices({
    calls: [leaving, buildCall('b', { startedAtMs, endedAtMs: startedAtMs + 10, ...call })],
    arrivals: [buildArrival('a'), buildArrival('b', { atMs: startedAtMs + 5, ...arrival })],
    pausingRejections: [],
    faultIntervals,
  }).map(({ promise }) => promise);
}

test('a request to a server after it said that it leaves is reported', (t) => {
  t.deepEqual(afterLeaving(2_000), ['drain']);
  t.deepEqual(afterLeaving(1_400), [], 'within the time limit');
  t.deepEqual(afterLeaving(2_000, {}, { server: 'i-2' }), [], 'at another server');
  t.deepEqual(afterLeaving(2_000, { host: 1 }), [], 'from a host that has not heard it');
  t.deepEqual(afterLeaving(2_000, { host: 2 }), [], 'from an unknown host of the region');
  t.deepEqual(afterLeaving(2_000, {}, {}, [buildFault('host-pause', 0)]), []);
  t.deepEqual(afterLeaving(2_000, {}, {}, [buildFault('host-pause', 1)]), ['drain']);
  t.deepEqual(afterLeaving(2_000, {}, {}, [buildFault('host-reload', 0)]), ['drain']);
});

/** Promises broken by requests at these times after a pause of 2 s was asked for at 1,000 ms. */
function inPause(
  timesMs: readonly number[],
  faultIntervals: readonly FaultInterval[] = [],
  host = 0,
): string[] {
  const rejection: PausingRejection = {
    attemptId: 'a',
    atMs: 1_000,
    zone: 'north-a',
    server: 'i-1',
    retryAfterMs: 2_000,
  };
  return checkNotices({
    calls: [buildCall('a'), ...timesMs.map((_, index) => buildCall(`b${index}`, { host }))],
    arrivals: timesMs.map((atMs, index) => buildArrival(`b${index}`, { atMs })),
    pausingRejections: [rejection],
    faultIntervals,
  }).map(({ promise }) => promise);
}

test('more than two requests in a pause are reported', (t) => {
  t.deepEqual(inPause([1_600, 2_000, 2_900]), ['pause']);
  t.deepEqual(inPause([1_600, 2_000]), []);
  t.deepEqual(inPause([1_100, 1_400, 1_600, 2_000, 3_001]), [], 'before and after the time');
  t.deepEqual(inPause([1_600, 2_000, 2_900], [], 1), [], 'from another host');
  t.deepEqual(inPause([1_600, 2_000, 2_900], [buildFault('host-kill', 0)]), []);
  const cut = { ...buildFault('server-link-one-way', undefined), startedAtMs: 900 };
  t.deepEqual(inPause([1_600, 2_000, 2_900], [cut]), []);
});

test('rejected requests count in a pause too', (t) => {
  const rejections = [1_000, 1_600, 1_700, 1_800].map((atMs, index) => ({
    attemptId: `a${index}`,
    atMs,
    zone: 'south-a',
    server: 'i-3',
    retryAfterMs: 2_000,
  }));
  const violations = checkNotices({
    calls: [],
    arrivals: [],
    pausingRejections: rejections,
    faultIntervals: [],
  });
  t.like(violations, [{ promise: 'pause', detail: '3 requests in a pause of host 2 and i-3' }]);
});
