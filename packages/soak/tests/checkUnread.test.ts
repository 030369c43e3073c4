import test from 'ava';
import { checkUnread } from '../src/index.js';
import type { ConnectionCall, FaultInterval } from '../src/index.js';

const unread: ConnectionCall = {
  attemptId: 'a',
  kind: 'unsafe',
  host: 0,
  startedAtMs: 10_000,
  endedAtMs: 12_000,
  left: false,
  status: undefined,
  complete: false,
  leavingServer: undefined,
  responseAttemptId: undefined,
  eventIds: [],
  idleMs: 800,
  reused: true,
  headMs: 0,
  bodyMs: 0,
};
const late = { ...unread, status: 408, complete: true };

const buildFault = (kind: string, overrides: Partial<FaultInterval> = {}): FaultInterval => ({
  kind,
  host: 0,
  startedAtMs: 10_500,
  endedAtMs: 11_000,
  effectsEndAtMs: 14_000,
  ...overrides,
});

const promisesOf = (
  call: Partial<ConnectionCall>,
  faultIntervals: readonly FaultInterval[] = [],
): string[] =>
  checkUnread({
    calls: [{ ...unread, ...call }],
    idleTimeouts: [{ atMs: 0, idleTimeoutMs: 1_000 }],
    headerTimeoutMs: 500,
    faultIntervals,
  }).map(({ promise }) => promise);

test('a request without an answer is reported if its connection was idle for long enough', (t) => {
  t.deepEqual(promisesOf({}), ['unread']);
  t.deepEqual(promisesOf({ idleMs: 801 }), [], 'over four fifths of the idle timeout');
  t.deepEqual(promisesOf({ idleMs: 801, reused: false }), ['unread'], 'a new connection');
  t.deepEqual(promisesOf({ status: 503 }), []);
  t.deepEqual(promisesOf({ status: 200 }), [], 'a response that is broken off');
  t.deepEqual(promisesOf({ left: true }), []);
});

test('only the end of its host excuses an unread request', (t) => {
  t.deepEqual(promisesOf({}, [buildFault('host-pause')]), ['unread']);
  t.deepEqual(promisesOf({}, [buildFault('host-reload')]), ['unread']);
  t.deepEqual(promisesOf({}, [buildFault('host-kill')]), []);
  t.deepEqual(promisesOf({}, [buildFault('host-stop')]), []);
  t.deepEqual(promisesOf({}, [buildFault('host-stop', { host: 1 })]), ['unread']);
  const before = { startedAtMs: 8_000, endedAtMs: 9_199 };
  t.deepEqual(promisesOf({}, [buildFault('host-stop', before)]), ['unread'], 'before it was open');
  t.deepEqual(promisesOf({}, [buildFault('host-stop', { ...before, endedAtMs: 9_200 })]), []);
});

test('a head or body that was sent within its limit and rejected as late is reported', (t) => {
  t.deepEqual(promisesOf({ ...late, headMs: 400 }), ['unread']);
  t.deepEqual(promisesOf({ ...late, headMs: 401 }), []);
  t.deepEqual(promisesOf({ ...late, bodyMs: 800 }), ['unread']);
  t.deepEqual(promisesOf({ ...late, bodyMs: 801 }), []);
  t.deepEqual(promisesOf({ ...late, bodyMs: 800 }, [buildFault('host-kill')]), ['unread']);
});
