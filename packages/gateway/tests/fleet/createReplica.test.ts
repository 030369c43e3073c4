import test from 'ava';
import { createReplica } from '../../src/index.js';

const item = (key: string, modRevision: number, value = key) => ({ key, value, modRevision });

test('a listing of a peer at an older revision does not restore removed or replaced items', (t) => {
  const replica = createReplica();
  replica.applyListing({ items: [item('a', 5, 'new')], era: 1, revision: 8 });
  replica.applyChanges({
    events: [{ kind: 'delete', key: 'b', value: '', modRevision: 9 }],
    era: 1,
    revision: 9,
  });
  const changes = replica.applyListing({
    items: [item('a', 3, 'old'), item('b', 4)],
    era: 1,
    revision: 4,
  });
  t.deepEqual(changes, []);
  t.deepEqual(
    replica.items().map(({ value }) => value),
    ['new'],
  );
  t.deepEqual(replica.position(), { era: 1, revision: 9 });
});

test('a listing removes keys that it lacks, but not those written after its revision', (t) => {
  const replica = createReplica();
  replica.applyListing({ items: [item('old', 2)], era: 1, revision: 2 });
  replica.applyChanges({
    events: [{ kind: 'put', ...item('young', 7) }],
    era: 1,
    revision: 7,
  });
  const changes = replica.applyListing({ items: [], era: 1, revision: 5 });
  t.deepEqual(
    changes.map(({ kind, key }) => [kind, key]),
    [['delete', 'old']],
  );
});

test('a change that is repeated after an interrupted watch is applied once', (t) => {
  const replica = createReplica();
  const change = { kind: 'put' as const, ...item('a', 3) };
  t.is(replica.applyChanges({ events: [change], era: 0, revision: 3 }).length, 1);
  t.is(replica.applyChanges({ events: [change], era: 0, revision: 3 }).length, 0);
});
