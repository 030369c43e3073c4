import test from 'ava';
import { createChangeLog } from '../../src/index.js';

test('only keys that changed after the revision are returned', (t) => {
  const log = createChangeLog();
  log.reset(10);
  log.append('a', 11);
  log.append('b', 12);
  log.append('a', 13);
  t.deepEqual(log.since(11), new Set(['a', 'b']));
  t.deepEqual(log.since(12), new Set(['a']));
  t.deepEqual(log.since(13), new Set());
});

test('no changes are returned for a revision before the start of the log', (t) => {
  const log = createChangeLog();
  t.is(log.since(0), undefined);
  log.reset(10);
  t.is(log.since(9), undefined);
  for (let revision = 11; revision < 5_000; revision += 1) {
    log.append('a', revision);
  }
  t.is(log.since(11), undefined);
  t.deepEqual(log.since(4_998), new Set(['a']));
});
