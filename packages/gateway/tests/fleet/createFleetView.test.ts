import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { LogSink, ServerId, WatchEvent } from '@camphorbarrow/core';
import { createFleetView } from '../../src/index.js';
import type { FleetChange, RoutingTable, StoreUpdate } from '../../src/index.js';
import { buildRegistration } from '../support/builders.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };

const table = (version: number): RoutingTable => ({
  version,
  routes: [],
  services: new Map(),
  customers: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

function decode({ key, value, kind }: WatchEvent): FleetChange {
  return key === 'config'
    ? { kind: 'configuration', table: table(Number(value)) }
    : { kind: 'evacuation', zone: asId(key), active: kind === 'put' };
}

function setUp() {
  return createFleetView({
    clock: createManualClock(),
    log: silentLog,
    decode,
    regionOfZone: () => undefined,
    coldAfterEvacuationMs: () => 0,
  });
}

const emptyUpdate: Omit<StoreUpdate, 'revision'> = {
  era: 1,
  configuration: null,
  complete: true,
  items: [],
  removals: [],
  heard: [],
  ageMs: null,
  storeAwayMs: null,
};

const put = (key: string, value: string, modRevision: number) => ({ key, value, modRevision });

// One version that was far ahead made all later ones void, and hosts that started later had another.
test('the configuration that was written last within an era is in force, whatever its version', (t) => {
  const view = setUp();
  const started = setUp();
  view.applyListing({ items: [put('config', '9e15', 3)], era: 1, revision: 3 });
  view.applyChanges({ events: [{ kind: 'put', ...put('config', '6', 4) }], era: 1, revision: 4 });
  t.is(view.table()?.version, 6);
  view.applyChanges({ events: [{ kind: 'put', ...put('config', '8', 3) }], era: 1, revision: 5 });
  t.is(view.table()?.version, 6);
  started.applyListing({
    items: view.updateSince({ era: 0, revision: 0 }).items,
    era: 1,
    revision: 5,
  });
  t.is(started.table()?.version, 6);
});

// Seed 1044 of the configurations soak: hosts that got the configuration from another one ignored the next.
test('a configuration that another host told is ordered by the era and revision that it tells', (t) => {
  const known = setUp();
  const started = setUp();
  known.applyListing({ items: [put('config', '9e15', 3)], era: 1, revision: 3 });
  const unreadable = put('other', '', 4);
  started.applyPeerUpdate({
    ...emptyUpdate,
    ...known.updateSince({ era: 0, revision: 0 }),
    items: [unreadable],
    revision: 4,
    configuration: { ...put('config', '9e15', 3), era: 1 },
  });
  started.applyChanges({
    events: [{ kind: 'put', ...put('config', '6', 5) }],
    era: 1,
    revision: 5,
  });
  t.is(started.table()?.version, 6);
  started.applyPeerUpdate({
    ...emptyUpdate,
    complete: false,
    revision: 5,
    configuration: { ...put('config', '9e15', 3), era: 1 },
  });
  t.is(started.table()?.version, 6);
});

test('an older configuration of another era or host does not replace a newer one, regardless of its revision', (t) => {
  const view = setUp();
  view.applyListing({ items: [put('config', '7', 3)], era: 1, revision: 3 });
  view.applyPeerUpdate({
    ...emptyUpdate,
    complete: false,
    revision: 3,
    configuration: put('config', '6', 9),
  });
  t.is(view.table()?.version, 7);
  view.applyListing({ items: [put('config', '5', 2)], era: 2, revision: 2 });
  view.applyChanges({ events: [{ kind: 'put', ...put('config', '6', 4) }], era: 2, revision: 4 });
  t.is(view.table()?.version, 7);
  view.applyChanges({ events: [{ kind: 'put', ...put('config', '7', 5) }], era: 2, revision: 5 });
  view.applyChanges({ events: [{ kind: 'put', ...put('config', '6', 6) }], era: 2, revision: 6 });
  t.is(view.table()?.version, 6);
});

test('an update from a peer at an older revision does not revert an evacuation', (t) => {
  const view = setUp();
  view.applyListing({ items: [put('north-a', '', 5)], era: 1, revision: 5 });
  view.applyPeerUpdate({ ...emptyUpdate, era: 1, revision: 4 });
  t.true(view.isEvacuated(asId('north-a')));
  view.applyPeerUpdate({ ...emptyUpdate, era: 1, revision: 6 });
  t.false(view.isEvacuated(asId('north-a')));
});

const heartbeat = (id: string, sequence: number, coldRemainingMs: number): WatchEvent => ({
  kind: 'put',
  ...put(id, JSON.stringify({ sequence, coldRemainingMs }), sequence),
});

function serverView(clock = createManualClock()) {
  return createFleetView({
    clock,
    log: silentLog,
    decode({ key, kind, value }) {
      const id = asId<ServerId>(key);
      const registration =
        kind === 'put' ? buildRegistration({ id, ...JSON.parse(value) }) : undefined;
      return { kind: 'server', id, registration };
    },
    regionOfZone: () => undefined,
    coldAfterEvacuationMs: () => 0,
  });
}

// Otherwise every heartbeat of every server would be sent to every host of the region.
test('updates for peers have changed items, but only the age of heartbeats', (t) => {
  const view = serverView();
  view.applyListing({ items: [], era: 1, revision: 1 });
  view.applyChanges({ events: [heartbeat('a', 2, 0), heartbeat('b', 3, 0)], era: 1, revision: 3 });
  view.applyChanges({ events: [heartbeat('a', 4, 0)], era: 1, revision: 4 });
  const update = view.updateSince({ era: 1, revision: 3 });
  t.deepEqual([update.complete, update.items, update.removals], [false, [], []]);
  t.deepEqual(update.heard, [
    ['a', 0],
    ['b', 0],
  ] as unknown as typeof update.heard);
});

test('a host that is updated by a peer learns of new, cold and removed servers', (t) => {
  const clock = createManualClock();
  const reader = serverView(clock);
  const follower = serverView(clock);
  reader.applyListing({ items: [], era: 1, revision: 1 });
  reader.applyChanges({
    events: [heartbeat('a', 2, 0), heartbeat('b', 3, 0)],
    era: 1,
    revision: 3,
  });
  follower.applyPeerUpdate(reader.updateSince(follower.position()));
  t.is(follower.servers.all().length, 2);
  const removal = { kind: 'delete', key: 'b', value: '', modRevision: 5 } as const;
  reader.applyChanges({ events: [heartbeat('a', 4, 3_000), removal], era: 1, revision: 5 });
  follower.applyPeerUpdate(reader.updateSince(follower.position()));
  t.deepEqual(
    follower.servers.all().map(({ registration, coldUntilMs }) => [registration.id, coldUntilMs]),
    [[asId('a'), clock.monotonicMs() + 3_000]],
  );
  t.is(follower.confirmedAtMs(), reader.confirmedAtMs());
  t.deepEqual(follower.position(), { era: 1, revision: 5 });
});

test('expired servers are kept for a grace period if a peer saw an outage of the store', (t) => {
  const clock = createManualClock();
  const reader = serverView(clock);
  const follower = serverView(clock);
  reader.applyListing({ items: [], era: 1, revision: 1 });
  reader.applyChanges({ events: [heartbeat('a', 2, 0)], era: 1, revision: 2 });
  follower.applyPeerUpdate(reader.updateSince({ era: 1, revision: 0 }));
  reader.recordStoreUnavailable();
  reader.applyChanges({
    events: [{ kind: 'delete', key: 'a', value: '', modRevision: 3 }],
    era: 1,
    revision: 3,
  });
  follower.applyPeerUpdate(reader.updateSince({ era: 1, revision: 2 }));
  t.is(follower.servers.all().length, 1);
  clock.advance(3_000);
  t.is(follower.servers.all().length, 0);
});

// Each follower got a full copy, and sent full copies to those that asked it.
test('a listing after the loss of the history is sent to followers as changes', (t) => {
  const view = setUp();
  view.applyListing({ items: [put('north-a', '', 1), put('south-a', '', 2)], era: 1, revision: 3 });
  const follower = setUp();
  follower.applyPeerUpdate(view.updateSince(follower.position()));
  view.applyListing({ items: [put('south-a', '', 2), put('west-a', '', 6)], era: 1, revision: 7 });
  const update = view.updateSince(follower.position());
  t.false(update.complete);
  t.like(update, { items: [put('west-a', '', 6)], removals: [{ key: 'north-a', modRevision: 7 }] });
  t.deepEqual([update.items.length, update.removals.length], [1, 1]);
  follower.applyPeerUpdate(update);
  t.is(follower.position().revision, 7);
  t.deepEqual(
    ['north-a', 'south-a', 'west-a'].map((zone) => follower.isEvacuated(asId(zone))),
    [false, true, true],
  );
  t.false(follower.updateSince({ era: 1, revision: 3 }).complete);
});
