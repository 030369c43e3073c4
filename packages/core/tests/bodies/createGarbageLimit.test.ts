import test from 'ava';
import { createGarbageLimit } from '../../src/index.js';

/** Memory in which the garbage is a part of what is used. */
function createProbe(maxBytes: number) {
  let live = 0;
  let recentGarbage = 0;
  let oldGarbage = 0;
  const collections: string[] = [];
  const limit = createGarbageLimit({
    maxBytes: () => maxBytes,
    usedBytes: () => live + recentGarbage + oldGarbage,
    collect(scope) {
      collections.push(scope);
      recentGarbage = 0;
      oldGarbage = scope === 'all' ? 0 : oldGarbage;
    },
  });
  return {
    collections,
    add(bytes: { readonly live?: number; readonly recent?: number; readonly old?: number }) {
      live += bytes.live ?? 0;
      recentGarbage += bytes.recent ?? 0;
      oldGarbage += bytes.old ?? 0;
      limit.recordAllocation((bytes.live ?? 0) + (bytes.recent ?? 0) + (bytes.old ?? 0));
    },
    usedBytes: () => live + recentGarbage + oldGarbage,
  };
}

test('garbage does not exceed the limit by more than is allocated between two checks', (t) => {
  const probe = createProbe(1_000);
  for (let count = 0; count < 1_000; count += 1) {
    probe.add({ recent: 10 });
    t.true(probe.usedBytes() <= 1_050);
  }
  t.deepEqual([...new Set(probe.collections)], ['recent']);
  t.true(probe.collections.length <= 10, String(probe.collections.length));
});

test('all garbage is collected only if the collection of recent garbage is not enough', (t) => {
  const probe = createProbe(1_000);
  probe.add({ old: 900 });
  probe.add({ recent: 150 });
  t.deepEqual(probe.collections, ['recent']);
  probe.add({ old: 200 });
  t.deepEqual(probe.collections, ['recent', 'recent', 'all']);
  t.is(probe.usedBytes(), 0);
});

test('memory that is in use beyond the limit does not cause a collection at each check', (t) => {
  const probe = createProbe(1_000);
  probe.add({ live: 1_500 });
  probe.collections.length = 0;
  for (let count = 0; count < 100; count += 1) {
    probe.add({ recent: 10 });
  }
  t.true(probe.collections.length <= 20, String(probe.collections.length));
});
