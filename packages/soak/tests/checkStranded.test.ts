import test from 'ava';
import { checkStranded } from '../src/checkStranded.js';
import type { CallRecord } from '../src/CallRecord.js';
import type { FaultInterval } from '../src/FaultInterval.js';

const stranding: FaultInterval = {
  kind: 'stranded-silent',
  host: 0,
  startedAtMs: 0,
  endedAtMs: 10_000,
  effectsEndAtMs: 13_000,
};

const buildCalls = (host: number, served: number, failed: number, fromMs = 7_000): CallRecord[] =>
  Array.from({ length: served + failed }, (_, index) => ({
    attemptId: `${host}-${index}`,
    kind: 'safe',
    host,
    startedAtMs: fromMs,
    endedAtMs: fromMs + 100,
    left: false,
    status: index < served ? 200 : 503,
    complete: true,
    leavingServer: undefined,
    responseAttemptId: undefined,
    eventIds: [],
  }));

test('callers of a host without servers that are served far worse than others are reported', (t) => {
  const calls = [...buildCalls(0, 10, 30), ...buildCalls(1, 40, 0)];
  t.like(checkStranded({ calls, faultIntervals: [stranding] }), [{ promise: 'stranded' }]);
  const soundCalls = [...buildCalls(0, 30, 10), ...buildCalls(1, 40, 0)];
  t.deepEqual(checkStranded({ calls: soundCalls, faultIntervals: [stranding] }), []);
  const earlyCalls = [...buildCalls(0, 10, 30, 1_000), ...buildCalls(1, 40, 0, 1_000)];
  t.deepEqual(checkStranded({ calls: earlyCalls, faultIntervals: [stranding] }), []);
});

test('calls beside another fault of the host are not compared', (t) => {
  const calls = [...buildCalls(0, 10, 30), ...buildCalls(1, 40, 0)];
  const kill = { ...stranding, kind: 'host-kill', startedAtMs: 6_500, endedAtMs: 6_800 };
  t.deepEqual(checkStranded({ calls, faultIntervals: [stranding, kill] }), []);
});
