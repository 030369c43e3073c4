import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId, LogSink, RegionId } from '@camphorbarrow/core';
import { createRegionStoreReaders } from '../../src/index.js';
import type { FleetView, PeerRegistry, StoreUpdate } from '../../src/index.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const region = asId<RegionId>('north');

const emptyUpdate: StoreUpdate = {
  complete: false,
  items: [],
  removals: [],
  heard: [],
  era: 1,
  revision: 5,
  configuration: null,
  ageMs: 0,
  storeAwayMs: null,
};

/** Sets up a region whose hosts all know each other. */
function setUpRegion(
  hosts: number,
  confirmedAgeMs = 100,
  isFailing = false,
  viewEra = 1,
  coresOf: (id: HostId) => number | undefined = () => undefined,
) {
  const ids = Array.from({ length: hosts }, (_, index) => asId<HostId>(`host-${index}`));
  const askedReaders: string[] = [];
  const clock = createManualClock();
  clock.advance(10_000);
  const sync = (ownId: HostId): Promise<boolean> =>
    createRegionStoreReaders({
      clock,
      log: silentLog,
      ownId,
      ownCores: coresOf(ownId),
      region,
      view: {
        applyPeerUpdate() {},
        position: () => ({ era: viewEra, revision: 5 }),
        confirmedAtMs: () => clock.monotonicMs() - confirmedAgeMs,
      } as unknown as FleetView,
      peers: {
        aliveIn: () =>
          ids
            .filter((id) => id !== ownId)
            .map((id) => ({
              heartbeat: { host: { id, peers: { host: id, port: 1 }, cores: coresOf(id) } },
            })),
      } as unknown as PeerRegistry,
      async fetchStoreUpdate({ host }) {
        askedReaders.push(host);
        if (isFailing) {
          throw new Error('refused');
        }
        return emptyUpdate;
      },
    }).syncFromReader();
  return { ids, askedReaders, sync };
}

async function countReaders({ ids, sync }: ReturnType<typeof setUpRegion>): Promise<number> {
  const synced = await Promise.all(ids.map(sync));
  return synced.filter((isSynced) => !isSynced).length;
}

// A watch returns for every heartbeat of every server. With one watch per host, the charges for
// calls to the store were a tenth of what the fleet earned.
test('three hosts of a region read the store for the others', async (t) => {
  const large = setUpRegion(20);
  t.is(await countReaders(large), 3);
  t.is(large.askedReaders.length, 17);
  t.is(new Set(large.askedReaders).size, 3);
});

test('every host of a small region reads the store itself', async (t) => {
  const small = setUpRegion(3);
  t.is(await countReaders(small), 3);
  t.deepEqual(small.askedReaders, []);
});

test('a host reads the store itself if its reader is stale or does not respond', async (t) => {
  t.is(await countReaders(setUpRegion(20, 5_000)), 20);
  t.is(await countReaders(setUpRegion(20, 100, true)), 20);
});

test('a host that knows of a restore of the store does not take updates of an earlier reader', async (t) => {
  t.is(await countReaders(setUpRegion(20, 100, false, 2)), 20);
});

// Of 65 hosts of a region, each reader serves 72 updates a second; most hosts have a third of a core.
test('the hosts with the most cores read the store', async (t) => {
  const large = new Set(['host-4', 'host-11', 'host-17']);
  const subject = setUpRegion(20, 100, false, 1, (id) => (large.has(id) ? 1.35 : 0.324));
  t.is(await countReaders(subject), 3);
  t.deepEqual([...new Set(subject.askedReaders)].sort(), [...large].sort());
});
