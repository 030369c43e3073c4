import test from 'ava';
import type { ServerId } from '../../src/ids/ServerId.js';
import { asId } from '../../src/ids/asId.js';
import { planEngineOrders } from '../../src/engineOrders/planEngineOrders.js';
import type { EngineObservation } from '../../src/engineOrders/planEngineOrders.js';

function createObservation(
  id: string,
  weightsByModel: Record<string, string>,
  runningRequests = 0,
): EngineObservation {
  return { serverId: asId<ServerId>(id), state: { weightsByModel, maxModels: 1 }, runningRequests };
}

const large = { model: 'large', weights: 'large-v2', servers: 2 };

test('a missing model is loaded on a free engine and no engine is overfilled', (t) => {
  const engines = [createObservation('e1', { small: 'small-v1' }), createObservation('e2', {})];
  const orders = planEngineOrders(
    [large, { model: 'third', weights: 'third-v1', servers: 1 }],
    engines,
  );
  t.deepEqual(
    orders.map(({ serverId, order }) => [serverId as string, order.model]),
    [['e2', 'large']],
  );
});

test('a new version replaces the old one on one engine at a time', (t) => {
  const engines = [
    createObservation('e1', { large: 'large-v1' }),
    createObservation('e2', { large: 'large-v1' }),
  ];
  t.is(planEngineOrders([large], engines).length, 1);
});

test('models are unloaded from surplus engines, starting with the fewest requests', (t) => {
  const engines = [
    createObservation('e1', { large: 'large-v2' }, 5),
    createObservation('e2', { large: 'large-v2' }, 1),
    createObservation('e3', { large: 'large-v2' }, 3),
  ];
  t.deepEqual(planEngineOrders([large], engines), [
    { serverId: asId<ServerId>('e2'), order: { kind: 'unload-model', model: 'large' } },
  ]);
});

test('engines in the desired state get no orders', (t) => {
  const engines = [
    createObservation('e1', { large: 'large-v2' }),
    createObservation('e2', { large: 'large-v2' }),
  ];
  t.deepEqual(planEngineOrders([large], engines), []);
});
