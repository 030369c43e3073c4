import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { LogSink, WatchEvent } from '@camphorbarrow/core';
import { createFleetView } from '../../src/index.js';
import type { FleetChange, RoutingTable } from '../../src/index.js';

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
  view.applyPeerListing({ items: [], revision: 4 });
  t.true(view.isEvacuated(asId('north-a')));
  view.applyPeerListing({ items: [], revision: 6 });
  t.false(view.isEvacuated(asId('north-a')));
});
