import test from 'ava';
import { exceptionSchema } from '../../src/config/exceptionSchema.js';
import { exceptionsFileSchema } from '../../src/config/exceptionsFileSchema.js';

const exception = {
  id: 'lunch-peak',
  reason: 'Longer queues at lunchtime',
  author: 'ana',
  scope: { region: 'sierra-sur' },
  set: { admission: { maxQueuedRequests: 900 }, retry: {} },
};

test('fields that an exception does not set are not filled with defaults', (t) => {
  // Guards against zod applying defaults inside optional(), which would override the fleet
  // defaults.
  t.deepEqual(exceptionSchema.parse(exception).set, {
    admission: { maxQueuedRequests: 900 },
    retry: {},
  });
});

test('fields that an exception sets are checked against their ranges', (t) => {
  const set = { admission: { maxQueuedRequests: 0 } };
  t.false(exceptionSchema.safeParse({ ...exception, set }).success);
  t.false(exceptionSchema.safeParse({ ...exception, set: { admission: { other: 1 } } }).success);
});

test('an exception without a reason or an author is rejected', (t) => {
  t.true(exceptionSchema.safeParse(exception).success);
  t.false(exceptionSchema.safeParse({ ...exception, reason: undefined }).success);
  t.false(exceptionSchema.safeParse({ ...exception, reason: '   ' }).success);
  t.false(exceptionSchema.safeParse({ ...exception, author: undefined }).success);
  t.false(exceptionSchema.safeParse({ ...exception, author: '' }).success);
});

test('two exceptions with the same id are rejected', (t) => {
  t.true(exceptionsFileSchema.safeParse([exception]).success);
  t.false(exceptionsFileSchema.safeParse([exception, exception]).success);
});
