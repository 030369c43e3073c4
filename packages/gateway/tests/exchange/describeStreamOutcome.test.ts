import test from 'ava';
import { describeStreamOutcome } from '../../src/index.js';
import type { ExchangeProgress, StreamEnd } from '../../src/index.js';

const buildProgress = (overrides: Partial<ExchangeProgress>): ExchangeProgress =>
  ({ runs: 0, eventCount: 0, ...overrides }) as ExchangeProgress;

const end: StreamEnd = { status: 0, isExpired: false, hasCallerLeft: false };

// Without the length, streams that are too long for their deadline cannot be told from others.
test('a stream is counted by its maximum length and the way it ended', (t) => {
  const resultOf = (progress: Partial<ExchangeProgress>, overrides: Partial<StreamEnd>): string =>
    describeStreamOutcome(300, buildProgress(progress), { ...end, ...overrides }).result;
  t.is(resultOf({ eventCount: 9 }, { status: 200 }), 'served');
  t.is(resultOf({ eventCount: 9 }, { hasCallerLeft: true, isExpired: true }), 'caller-left');
  t.is(resultOf({ eventCount: 9 }, { isExpired: true }), 'deadline');
  t.is(resultOf({ eventCount: 9, runs: 2 }, {}), 'interrupted');
  t.is(resultOf({}, { status: 503 }), 'rejected');
  t.is(resultOf({ runs: 1 }, { status: 502 }), 'failed');
});

test('the classes of the maximum length are bounded', (t) => {
  const classes = [0, 64, 65, 2_048, 2_049, 1e9].map(
    (tokens) => describeStreamOutcome(tokens, buildProgress({}), end).maxTokens,
  );
  t.deepEqual(classes, ['64', '64', '128', '2048', 'more', 'more']);
});
