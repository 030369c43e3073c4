import { setImmediate } from 'node:timers/promises';
import test from 'ava';
import { createSeededRandom } from '../../src/time/createSeededRandom.js';
import { checkOrderHistory } from './checkOrderHistory.js';
import { createSimulatedRegion } from './createSimulatedRegion.js';
import type { SimulatedRegion } from './createSimulatedRegion.js';

const createRegion = (): SimulatedRegion =>
  createSimulatedRegion({
    step: () => setImmediate(),
    random: createSeededRandom(1),
    hostCount: 3,
  });

function answerOutcomes({ events }: SimulatedRegion): readonly string[] {
  return events.flatMap((event) => (event.kind === 'answer' ? [event.outcome] : []));
}

test('resends through all hosts find the outcome, with a permit and with an own key', async (t) => {
  const region = createRegion();
  const orders = [
    { name: 'a', key: region.issuePermit(0) },
    { name: 'b', key: 'own-key' },
  ];
  for (const order of orders) {
    await Promise.all([0, 1, 2].map((host) => region.send(host, order)));
  }
  t.deepEqual(answerOutcomes(region), Array(6).fill('run'));
  t.deepEqual(checkOrderHistory(region.events), []);
});

test('with the store unavailable, orders with own keys are rejected as not run and permits work', async (t) => {
  const region = createRegion();
  region.faults.storeRatio = 1;
  await region.send(0, { name: 'a', key: 'own-key' });
  await region.send(0, { name: 'b', key: region.issuePermit(0) });
  t.deepEqual(answerOutcomes(region), ['not-run', 'run']);
  region.faults.storeRatio = 0;
  await region.send(1, { name: 'a', key: 'own-key' });
  t.deepEqual(answerOutcomes(region), ['not-run', 'run', 'run']);
});

test('the outcome of an order whose claimant or issuer restarted is unknown, and it never runs again', async (t) => {
  const region = createRegion();
  const permit = { name: 'a', key: region.issuePermit(0) };
  const own = { name: 'b', key: 'own-key' };
  await region.send(0, permit);
  await region.send(0, own);
  region.restart(0);
  for (const host of [0, 1]) {
    await region.send(host, permit);
    await region.send(host, own);
  }
  t.deepEqual(answerOutcomes(region), ['run', 'run', ...Array(4).fill('unknown')]);
  t.deepEqual(checkOrderHistory(region.events), []);
});

test('the outcome of an attempt that failed after sending is unknown to every resend', async (t) => {
  const region = createRegion();
  // With this seed, some of the orders get a lost response or a late run.
  region.faults.serverRatio = 1;
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  for (const name of names) {
    await region.send(0, { name, key: `key-${name}` });
  }
  region.faults.serverRatio = 0;
  const first = answerOutcomes(region);
  t.true(first.includes('unknown'));
  for (const name of names) {
    await region.send(1, { name, key: `key-${name}` });
  }
  const later = answerOutcomes(region).slice(names.length);
  t.deepEqual(
    later.map((outcome) => outcome === 'unknown'),
    first.map((outcome) => outcome === 'unknown'),
  );
  t.deepEqual(checkOrderHistory(region.events), []);
});
