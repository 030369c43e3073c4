import test from 'ava';
import { checkCalls } from '../src/index.js';
import type { CallRecord, FaultInterval } from '../src/index.js';

const buildCall = (overrides: Partial<CallRecord> = {}): CallRecord => ({
  attemptId: 'a',
  kind: 'unsafe',
  host: 0,
  startedAtMs: 1_000,
  endedAtMs: 1_100,
  left: false,
  status: 200,
  complete: true,
  leavingServer: undefined,
  responseAttemptId: 'a',
  eventIds: [],
  ...overrides,
});

const promisesOf = (
  call: CallRecord,
  runs: readonly string[] = ['a'],
  faultIntervals: readonly FaultInterval[] = [],
): string[] =>
  checkCalls({
    calls: [call],
    arrivals: runs.map((attemptId) => ({
      attemptId,
      target: '/',
      atMs: 1_050,
      zone: 'north-a',
      server: 'i-1',
    })),
    faultIntervals,
  }).map(({ promise }) => promise);

test('an order that ran twice, or ran although its status rules that out, is reported', (t) => {
  t.deepEqual(promisesOf(buildCall()), []);
  t.deepEqual(promisesOf(buildCall(), ['a', 'a']), ['twice']);
  t.deepEqual(promisesOf(buildCall({ kind: 'safe' }), ['a', 'a']), []);
  t.deepEqual(promisesOf(buildCall({ kind: 'safe' }), ['a', 'a', 'a']), ['twice']);
  t.deepEqual(promisesOf(buildCall({ status: 503 })), ['refused']);
  t.deepEqual(promisesOf(buildCall({ status: 503 }), []), []);
  t.deepEqual(promisesOf(buildCall({ status: 502 })), []);
});

test('the response to another request is reported', (t) => {
  t.deepEqual(promisesOf(buildCall({ responseAttemptId: 'b' })), ['mixed']);
});

test('events that are missing, duplicated or out of order are reported', (t) => {
  const stream = (eventIds: readonly number[], complete = true): string[] =>
    promisesOf(buildCall({ kind: 'resumable', eventIds, complete }));
  t.deepEqual(stream([1, 2, 3, 4, 5]), []);
  t.deepEqual(stream([1, 2, 3], false), []);
  t.deepEqual(stream([1, 2, 3]), ['order']);
  t.deepEqual(stream([1, 2, 2, 3, 4, 5]), ['order']);
  t.deepEqual(stream([1, 3], false), ['order']);
});

test('a late response is reported unless its host was affected by a fault', (t) => {
  const late = buildCall({ endedAtMs: 3_400 });
  const pause = {
    kind: 'host-pause',
    host: 0,
    startedAtMs: 2_000,
    endedAtMs: 2_500,
    effectsEndAtMs: 2_500,
  };
  t.deepEqual(promisesOf(late), ['late']);
  t.deepEqual(promisesOf(late, ['a'], [pause]), []);
  t.deepEqual(promisesOf(late, ['a'], [{ ...pause, host: 1 }]), ['late']);
  t.deepEqual(promisesOf(late, ['a'], [{ ...pause, kind: 'store-busy', host: undefined }]), [
    'late',
  ]);
});

test('a request that a planned stop interrupts is reported, unless another fault overlaps', (t) => {
  const cut = buildCall({ status: undefined, complete: false, endedAtMs: 1_500 });
  const stop = {
    kind: 'host-stop',
    host: 0,
    startedAtMs: 1_300,
    endedAtMs: 1_900,
    effectsEndAtMs: 2_000,
  };
  t.deepEqual(promisesOf(cut, ['a'], [stop]), ['lost']);
  t.deepEqual(
    promisesOf(cut, ['a'], [stop, { ...stop, kind: 'server-lost', host: undefined }]),
    [],
  );
  t.deepEqual(promisesOf(cut, ['a'], [{ ...stop, kind: 'host-kill' }]), []);
  t.deepEqual(
    promisesOf({ ...cut, startedAtMs: 1_290 }, ['a'], [stop]),
    [],
    'the host may not have read the request',
  );
});

test('requests that arrive after their callers have left are reported, beyond a few', (t) => {
  const gone = (
    count: number,
    arrivalMs: number,
    faults: readonly FaultInterval[] = [],
  ): string[] => {
    const calls = Array.from({ length: count }, (_, index) =>
      buildCall({ attemptId: `a${index}`, status: undefined, complete: false, left: true }),
    );
    const arrivals = calls.map(({ attemptId }) => ({
      attemptId,
      target: '/',
      atMs: arrivalMs,
      zone: 'north-a',
      server: 'i-1',
    }));
    return checkCalls({ calls, arrivals, faultIntervals: faults }).map(({ promise }) => promise);
  };
  const slowLink = {
    kind: 'server-link-delayed',
    host: undefined,
    startedAtMs: 1_050,
    endedAtMs: 1_500,
    effectsEndAtMs: 4_500,
  };
  t.deepEqual(gone(4, 1_590), []);
  t.deepEqual(gone(3, 1_610), []);
  t.deepEqual(gone(4, 1_610), ['gone']);
  t.deepEqual(gone(4, 1_610, [slowLink]), []);
  t.deepEqual(gone(4, 1_610, [{ ...slowLink, kind: 'host-pause', host: 0 }]), ['gone']);
});

test('a planned stop does not cut a call whose caller has left', (t) => {
  const left = buildCall({ status: undefined, complete: false, endedAtMs: 1_500, left: true });
  const stop = {
    kind: 'host-stop',
    host: 0,
    startedAtMs: 1_300,
    endedAtMs: 1_900,
    effectsEndAtMs: 2_000,
  };
  t.deepEqual(promisesOf(left, ['a'], [stop]), []);
});
