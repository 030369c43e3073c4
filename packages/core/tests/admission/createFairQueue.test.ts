import test from 'ava';
import fc from 'fast-check';
import type { FairQueueEntry } from '../../src/admission/FairQueue.js';
import { createFairQueue } from '../../src/admission/createFairQueue.js';
import { asId } from '../../src/ids/asId.js';

interface Entry extends FairQueueEntry {
  readonly id: number;
}

const QUANTUM = 10;
const MAX_COST = 15;
const bounds = { maxEntries: 8, maxCost: 60 };
const unbounded = { maxEntries: Infinity, maxCost: Infinity };
const always = (): boolean => true;

const entryArbitrary = fc.record({
  customer: fc.constantFrom('a', 'b', 'c'),
  cost: fc.integer({ min: 1, max: MAX_COST }),
});

const commandArbitrary = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('push' as const), entry: entryArbitrary }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('dequeue' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('rejectAll' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), at: fc.nat() }) },
);

test('bounds are never exceeded and every entry is removed exactly once', (t) => {
  fc.assert(
    fc.property(fc.array(commandArbitrary, { maxLength: 80 }), (commands) => {
      const queue = createFairQueue<Entry>(QUANTUM);
      const queued = new Map<number, Entry>();
      const markRemoved = (entry: Entry): void => {
        t.true(queued.delete(entry.id), 'removed an entry that was not in the queue');
      };
      commands.forEach((command, id) => {
        if (command.kind === 'push') {
          const { customer, cost } = command.entry;
          const entry = { id, cost, customerId: asId<Entry['customerId']>(customer) };
          queued.set(id, entry);
          queue.enqueue(entry, bounds, id % 5 === 0).forEach(markRemoved);
        } else if (command.kind === 'dequeue') {
          const dequeued = queue.dequeue(always, always);
          t.is(dequeued === undefined, queued.size === 0);
          if (dequeued !== undefined) {
            markRemoved(dequeued);
          }
        } else if (command.kind === 'rejectAll') {
          t.is(
            queue.dequeue(always, () => false),
            undefined,
          );
        } else {
          const entry = [...queued.values()][command.at % Math.max(1, queued.size)];
          if (entry !== undefined) {
            t.true(queue.remove(entry));
            markRemoved(entry);
          }
        }
        const costs = [...queued.values()].reduce((sum, { cost }) => sum + cost, 0);
        t.true(queue.size() <= bounds.maxEntries && queue.cost() <= bounds.maxCost);
        t.is(queue.size(), queued.size);
        t.is(queue.cost(), costs);
        t.is(queue.entries().length, queued.size);
      });
    }),
  );
});

test('waiting customers are served equal costs within the documented bound', (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: MAX_COST }), { minLength: 30, maxLength: 60 }),
      fc.array(fc.integer({ min: 1, max: MAX_COST }), { minLength: 30, maxLength: 60 }),
      fc.array(fc.boolean(), { minLength: 20, maxLength: 40 }),
      (costsOfA, costsOfB, accepts) => {
        const queue = createFairQueue<Entry>(QUANTUM);
        const pushAll = (customer: string, costs: number[]): void =>
          costs.forEach((cost, id) => {
            queue.enqueue({ id, cost, customerId: asId(customer) }, unbounded, false);
          });
        pushAll('a', costsOfA);
        pushAll('b', costsOfB);
        const served: Record<string, number> = { a: 0, b: 0 };
        // A dequeue without an accepted entry must not let a customer accumulate turns.
        accepts.forEach((accept) => {
          const dequeued = queue.dequeue(always, () => accept);
          if (dequeued !== undefined) {
            served[dequeued.customerId] = (served[dequeued.customerId] ?? 0) + dequeued.cost;
          }
          const difference = Math.abs((served.a ?? 0) - (served.b ?? 0));
          t.true(difference <= QUANTUM + 2 * MAX_COST, `difference ${difference}`);
        });
      },
    ),
  );
});

test('a customer that fills the queue has its own newest entries evicted, not those of others', (t) => {
  const queue = createFairQueue<Entry>(QUANTUM);
  const entriesOfA = Array.from({ length: 8 }, (_, id) => ({
    id,
    cost: 5,
    customerId: asId<never>('a'),
  }));
  entriesOfA.forEach((entry) => t.deepEqual(queue.enqueue(entry, bounds, false), []));
  const other = { id: 100, cost: 5, customerId: asId<never>('b') };
  t.deepEqual(queue.enqueue(other, bounds, false), [entriesOfA[7]]);
  t.true(queue.entries().includes(other));
});

test('an entry added at the front is served before the other entries of its customer', (t) => {
  const queue = createFairQueue<Entry>(QUANTUM);
  const customerId = asId<never>('a');
  queue.enqueue({ id: 1, cost: 5, customerId }, bounds, false);
  queue.enqueue({ id: 2, cost: 5, customerId }, bounds, true);
  t.is(queue.dequeue(always, always)?.id, 2);
});

test('an entry that is not accepted does not block later entries', (t) => {
  const queue = createFairQueue<Entry>(QUANTUM);
  const customerId = asId<never>('a');
  queue.enqueue({ id: 1, cost: 5, customerId }, bounds, false);
  queue.enqueue({ id: 2, cost: 5, customerId }, bounds, false);
  t.is(queue.dequeue(always, ({ id }) => id === 2)?.id, 2);
});
