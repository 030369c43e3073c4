import test from 'ava';
import { checkCalls } from '../src/index.js';
import type { CallRecord, FaultInterval } from '../src/index.js';

const buildCall = (overrides: Partial<CallRecord> = {}): CallRecord => ({
  attemptId: 'a',
  kind: 'unsafe',
  host: 0,
  startedAtMs: 1_000,
  endedAtMs: 1_100,
  status: 200,
  complete: true,
  responseAttemptId: 'a',
  eventIds: [],
  ...overrides,
});

const promisesOf = (
  call: CallRecord,
  runs: readonly string[] = ['a'],
  disturbances: readonly FaultInterval[] = [],
): string[] =>
  checkCalls({
    calls: [call],
    arrivals: runs.map((attemptId) => ({ attemptId, target: '/', atMs: 1_050, zone: 'north-a' })),
    faultIntervals: disturbances,
  }).map(({ promise }) => promise);

test('an order that ran twice, or ran and is said not to have run, is found', (t) => {
  t.deepEqual(promisesOf(buildCall()), []);
  t.deepEqual(promisesOf(buildCall(), ['a', 'a']), ['twice']);
  t.deepEqual(promisesOf(buildCall({ kind: 'safe' }), ['a', 'a']), []);
  t.deepEqual(promisesOf(buildCall({ kind: 'safe' }), ['a', 'a', 'a']), ['twice']);
  t.deepEqual(promisesOf(buildCall({ status: 503 })), ['refused']);
  t.deepEqual(promisesOf(buildCall({ status: 503 }), []), []);
  t.deepEqual(promisesOf(buildCall({ status: 502 })), []);
});

test('the answer to another request is found', (t) => {
  t.deepEqual(promisesOf(buildCall({ responseAttemptId: 'b' })), ['mixed']);
});

test('events that are missing, repeated or out of order are found', (t) => {
  const stream = (eventIds: readonly number[], complete = true): string[] =>
    promisesOf(buildCall({ kind: 'resumable', eventIds, complete }));
  t.deepEqual(stream([1, 2, 3, 4, 5]), []);
  t.deepEqual(stream([1, 2, 3], false), []);
  t.deepEqual(stream([1, 2, 3]), ['order']);
  t.deepEqual(stream([1, 2, 2, 3, 4, 5]), ['order']);
  t.deepEqual(stream([1, 3], false), ['order']);
});

test('an answer after its time is found unless its host was disturbed', (t) => {
  const late = buildCall({ endedAtMs: 3_400 });
  const pause = { what: 'host-pause', host: 0, fromMs: 2_000, endedAtMs: 2_500, toMs: 2_500 };
  t.deepEqual(promisesOf(late), ['late']);
  t.deepEqual(promisesOf(late, ['a'], [pause]), []);
  t.deepEqual(promisesOf(late, ['a'], [{ ...pause, host: 1 }]), ['late']);
  t.deepEqual(promisesOf(late, ['a'], [{ ...pause, what: 'store-busy', host: undefined }]), [
    'late',
  ]);
});

test('a request that a planned stop cuts is found, unless something else met it', (t) => {
  const cut = buildCall({ status: undefined, complete: false, endedAtMs: 1_500 });
  const stop = { what: 'host-stop', host: 0, fromMs: 1_300, endedAtMs: 1_900, toMs: 2_000 };
  t.deepEqual(promisesOf(cut, ['a'], [stop]), ['lost']);
  t.deepEqual(
    promisesOf(cut, ['a'], [stop, { ...stop, what: 'server-lost', host: undefined }]),
    [],
  );
  t.deepEqual(promisesOf(cut, ['a'], [{ ...stop, what: 'host-kill' }]), []);
  t.deepEqual(promisesOf({ ...cut, startedAtMs: 1_290 }, ['a'], [stop]), [], 'maybe not read');
});
