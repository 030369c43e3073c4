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

function outcomes({ events }: SimulatedRegion): readonly string[] {
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
  t.deepEqual(outcomes(region), Array(6).fill('run'));
  t.deepEqual(checkOrderHistory(region.events), []);
});

test('with the store down, own keys are refused as not run and permits work', async (t) => {
  const region = createRegion();
  region.faults.storeRatio = 1;
  await region.send(0, { name: 'a', key: 'own-key' });
  await region.send(0, { name: 'b', key: region.issuePermit(0) });
  t.deepEqual(outcomes(region), ['not-run', 'run']);
  region.faults.storeRatio = 0;
  await region.send(1, { name: 'a', key: 'own-key' });
  t.deepEqual(outcomes(region), ['not-run', 'run', 'run']);
});

test('the order of a lost claimant or issuer is unknown, never run again', async (t) => {
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
  t.deepEqual(outcomes(region), ['run', 'run', ...Array(4).fill('unknown')]);
  t.deepEqual(checkOrderHistory(region.events), []);
});

test('a broken attempt after the point of no return is unknown to every resend', async (t) => {
  const region = createRegion();
  // A ratio of 1 with this seed draws a lost answer or a late run for some of the orders.
  region.faults.serverRatio = 1;
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  for (const name of names) {
    await region.send(0, { name, key: `key-${name}` });
  }
  region.faults.serverRatio = 0;
  const first = outcomes(region);
  t.true(first.includes('unknown'));
  for (const name of names) {
    await region.send(1, { name, key: `key-${name}` });
  }
  const later = outcomes(region).slice(names.length);
  t.deepEqual(
    later.map((outcome) => outcome === 'unknown'),
    first.map((outcome) => outcome === 'unknown'),
  );
  t.deepEqual(checkOrderHistory(region.events), []);
});
