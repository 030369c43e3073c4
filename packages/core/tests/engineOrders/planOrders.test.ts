import test from 'ava';
import type { ServerId } from '../../src/ids/ServerId.js';
import { asId } from '../../src/ids/asId.js';
import { planOrders } from '../../src/engineOrders/planOrders.js';
import type { EngineObservation } from '../../src/engineOrders/planOrders.js';

function engine(
  id: string,
  weightsByModel: Record<string, string>,
  runningRequests = 0,
): EngineObservation {
  return { serverId: asId<ServerId>(id), state: { weightsByModel, maxModels: 1 }, runningRequests };
}

const large = { model: 'large', weights: 'large-v2', servers: 2 };

test('a missing model is loaded on a free engine and no engine is overfilled', (t) => {
  const engines = [engine('e1', { small: 'small-v1' }), engine('e2', {})];
  const orders = planOrders([large, { model: 'third', weights: 'third-v1', servers: 1 }], engines);
  t.deepEqual(
    orders.map(({ serverId, order }) => [serverId as string, order.model]),
    [['e2', 'large']],
  );
});

test('a new version replaces the old one on one engine at a time', (t) => {
  const engines = [engine('e1', { large: 'large-v1' }), engine('e2', { large: 'large-v1' })];
  t.is(planOrders([large], engines).length, 1);
});

test('surplus engines are unloaded, those with the fewest requests first', (t) => {
  const engines = [
    engine('e1', { large: 'large-v2' }, 5),
    engine('e2', { large: 'large-v2' }, 1),
    engine('e3', { large: 'large-v2' }, 3),
  ];
  t.deepEqual(planOrders([large], engines), [
    { serverId: asId<ServerId>('e2'), order: { kind: 'unload-model', model: 'large' } },
  ]);
});

test('engines in the desired state get no orders', (t) => {
  const engines = [engine('e1', { large: 'large-v2' }), engine('e2', { large: 'large-v2' })];
  t.deepEqual(planOrders([large], engines), []);
});
