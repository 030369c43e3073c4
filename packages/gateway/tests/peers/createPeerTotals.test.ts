import test from 'ava';
import { createPeerTotals } from '../../src/index.js';

interface Report {
  readonly running: number;
}

const HOSTS = 65;

test('totals follow reports that are replaced and peers that are lost', (t) => {
  let peers: readonly { readonly heartbeat: Report }[] = [];
  let total = 0;
  const update = createPeerTotals<Report>(
    () => peers,
    ({ running }, change) => {
      total += running * change;
    },
  );
  const [first, second] = [{ heartbeat: { running: 2 } }, { heartbeat: { running: 5 } }];
  peers = [first, second];
  update();
  t.is(total, 7);
  peers = [{ heartbeat: { running: 3 } }, second];
  update();
  t.is(total, 8);
  peers = [second];
  update();
  t.is(total, 5);
});

// Loads of 64 peers were summed again after each of 70 heartbeats a second: 0.6 ms each time.
test('a heartbeat is applied on its own, however many peers there are', (t) => {
  let applied = 0;
  let peers = Array.from({ length: HOSTS }, () => ({ heartbeat: { running: 1 } }));
  const update = createPeerTotals<Report>(
    () => peers,
    () => {
      applied += 1;
    },
  );
  update();
  t.is(applied, HOSTS);
  peers = peers.with(7, { heartbeat: { running: 4 } });
  update();
  update();
  t.is(applied, HOSTS + 2);
});
