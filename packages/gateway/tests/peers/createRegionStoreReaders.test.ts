import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId, LogSink, RegionId } from '@camphorbarrow/core';
import { createRegionStoreReaders } from '../../src/index.js';
import type { FleetView, PeerRegistry, StoreUpdate } from '../../src/index.js';

const quiet: LogSink = { info() {}, warn() {}, error() {} };
const region = asId<RegionId>('north');

const emptyNews: StoreUpdate = {
  complete: false,
  items: [],
  removals: [],
  heard: [],
  revision: 5,
  ageMs: 0,
  storeAwayMs: null,
};

/** Region of hosts of which each knows all others. */
function setUpRegion(hosts: number, confirmedAgeMs = 100, fails = false) {
  const ids = Array.from({ length: hosts }, (_, index) => asId<HostId>(`host-${index}`));
  const asked: string[] = [];
  const clock = createManualClock();
  clock.advance(10_000);
  const follow = (ownId: HostId): Promise<boolean> =>
    createRegionStoreReaders({
      clock,
      log: quiet,
      ownId,
      region,
      view: {
        applyNews() {},
        confirmedAtMs: () => clock.monotonicMs() - confirmedAgeMs,
      } as unknown as FleetView,
      peers: {
        aliveIn: () =>
          ids
            .filter((id) => id !== ownId)
            .map((id) => ({ heartbeat: { host: { id, peers: { host: id, port: 1 } } } })),
      } as unknown as PeerRegistry,
      async fetchStoreUpdate({ host }) {
        asked.push(host);
        if (fails) {
          throw new Error('refused');
        }
        return emptyNews;
      },
    }).syncFromReader();
  return { ids, asked, follow };
}

async function countReaders({ ids, follow }: ReturnType<typeof setUpRegion>): Promise<number> {
  const followed = await Promise.all(ids.map(follow));
  return followed.filter((follows) => !follows).length;
}

// Every watch returns with each heartbeat of each server; with one for every host, the calls to
// the store cost a tenth of what the fleet earned.
test('three hosts of a region read the store for the others', async (t) => {
  const large = setUpRegion(20);
  t.is(await countReaders(large), 3);
  t.is(large.asked.length, 17);
  t.is(new Set(large.asked).size, 3);
});

test('every host of a small region reads the store itself', async (t) => {
  const small = setUpRegion(3);
  t.is(await countReaders(small), 3);
  t.deepEqual(small.asked, []);
});

test('a host reads the store itself when its reader is stale or does not answer', async (t) => {
  t.is(await countReaders(setUpRegion(20, 5_000)), 20);
  t.is(await countReaders(setUpRegion(20, 100, true)), 20);
});
