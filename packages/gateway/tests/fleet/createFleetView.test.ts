import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { LogSink, ServerId, WatchEvent } from '@camphorbarrow/core';
import { createFleetView } from '../../src/index.js';
import type { FleetChange, RoutingTable, StoreUpdate } from '../../src/index.js';
import { buildRegistration } from '../support/builders.js';

const quiet: LogSink = { info() {}, warn() {}, error() {} };

const table = (version: number): RoutingTable => ({
  version,
  routes: [],
  services: new Map(),
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
    log: quiet,
    decode,
    regionOfZone: () => undefined,
    coldAfterEvacuationMs: () => 0,
  });
}

const nothing: Omit<StoreUpdate, 'revision'> = {
  complete: true,
  items: [],
  removals: [],
  heard: [],
  ageMs: null,
  storeAwayMs: null,
};

const put = (key: string, value: string, modRevision: number) => ({ key, value, modRevision });

test('an older configuration never replaces a newer one, whatever its revision', (t) => {
  const view = setUp();
  view.applyListing({ items: [put('config', '7', 3)], revision: 3 });
  view.applyChanges({ events: [{ kind: 'put', ...put('config', '6', 4) }], revision: 4 });
  t.is(view.table()?.version, 7);
});

test('a peer that knows less does not take an evacuation back', (t) => {
  const view = setUp();
  view.applyListing({ items: [put('north-a', '', 5)], revision: 5 });
  view.applyPeerUpdate({ ...nothing, revision: 4 });
  t.true(view.isEvacuated(asId('north-a')));
  view.applyPeerUpdate({ ...nothing, revision: 6 });
  t.false(view.isEvacuated(asId('north-a')));
});

const heartbeat = (id: string, sequence: number, coldRemainingMs: number): WatchEvent => ({
  kind: 'put',
  ...put(id, JSON.stringify({ sequence, coldRemainingMs }), sequence),
});

function serverView(clock = createManualClock()) {
  return createFleetView({
    clock,
    log: quiet,
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

// Each heartbeat of each server would otherwise travel to each host of the region.
test('news tell a peer of changes and not of heartbeats', (t) => {
  const view = serverView();
  view.applyListing({ items: [], revision: 1 });
  view.applyChanges({ events: [heartbeat('a', 2, 0), heartbeat('b', 3, 0)], revision: 3 });
  view.applyChanges({ events: [heartbeat('a', 4, 0)], revision: 4 });
  const news = view.updateSince(3);
  t.deepEqual([news.complete, news.items, news.removals], [false, [], []]);
  t.deepEqual(news.heard, [
    ['a', 0],
    ['b', 0],
  ] as unknown as typeof news.heard);
});

test('a host that follows a peer learns of new, cold and removed servers', (t) => {
  const clock = createManualClock();
  const reader = serverView(clock);
  const follower = serverView(clock);
  reader.applyListing({ items: [], revision: 1 });
  reader.applyChanges({ events: [heartbeat('a', 2, 0), heartbeat('b', 3, 0)], revision: 3 });
  follower.applyPeerUpdate(reader.updateSince(follower.revision()));
  t.is(follower.servers.all().length, 2);
  const removal = { kind: 'delete', key: 'b', value: '', modRevision: 5 } as const;
  reader.applyChanges({ events: [heartbeat('a', 4, 3_000), removal], revision: 5 });
  follower.applyPeerUpdate(reader.updateSince(follower.revision()));
  t.deepEqual(
    follower.servers.all().map(({ registration, coldUntilMs }) => [registration.id, coldUntilMs]),
    [[asId('a'), clock.monotonicMs() + 3_000]],
  );
  t.is(follower.confirmedAtMs(), reader.confirmedAtMs());
  t.is(follower.revision(), 5);
});

test('the outage of the store that a peer saw keeps lapsed servers for a moment', (t) => {
  const clock = createManualClock();
  const reader = serverView(clock);
  const follower = serverView(clock);
  reader.applyListing({ items: [], revision: 1 });
  reader.applyChanges({ events: [heartbeat('a', 2, 0)], revision: 2 });
  follower.applyPeerUpdate(reader.updateSince(0));
  reader.recordStoreUnavailable();
  reader.applyChanges({
    events: [{ kind: 'delete', key: 'a', value: '', modRevision: 3 }],
    revision: 3,
  });
  follower.applyPeerUpdate(reader.updateSince(2));
  t.is(follower.servers.all().length, 1);
  clock.advance(3_000);
  t.is(follower.servers.all().length, 0);
});
