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
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('take' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('refuseAll' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), at: fc.nat() }) },
);

test('bounds are never exceeded and every entry leaves exactly once', (t) => {
  fc.assert(
    fc.property(fc.array(commandArbitrary, { maxLength: 80 }), (commands) => {
      const queue = createFairQueue<Entry>(QUANTUM);
      const inside = new Map<number, Entry>();
      const leave = (entry: Entry): void => {
        t.true(inside.delete(entry.id), 'an entry left that was not in the queue');
      };
      commands.forEach((command, id) => {
        if (command.kind === 'push') {
          const { customer, cost } = command.entry;
          const entry = { id, cost, customerId: asId<Entry['customerId']>(customer) };
          inside.set(id, entry);
          queue.enqueue(entry, bounds, id % 5 === 0).forEach(leave);
        } else if (command.kind === 'take') {
          const taken = queue.dequeue(always, always);
          t.is(taken === undefined, inside.size === 0);
          if (taken !== undefined) {
            leave(taken);
          }
        } else if (command.kind === 'refuseAll') {
          t.is(
            queue.dequeue(always, () => false),
            undefined,
          );
        } else {
          const entry = [...inside.values()][command.at % Math.max(1, inside.size)];
          if (entry !== undefined) {
            t.true(queue.remove(entry));
            leave(entry);
          }
        }
        const costs = [...inside.values()].reduce((sum, { cost }) => sum + cost, 0);
        t.true(queue.size() <= bounds.maxEntries && queue.cost() <= bounds.maxCost);
        t.is(queue.size(), inside.size);
        t.is(queue.cost(), costs);
        t.is(queue.entries().length, inside.size);
      });
    }),
  );
});

test('customers that wait are served equal costs, within the stated bound', (t) => {
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
        // Takes without a place must not let a customer collect turns.
        accepts.forEach((accept) => {
          const taken = queue.dequeue(always, () => accept);
          if (taken !== undefined) {
            served[taken.customerId] = (served[taken.customerId] ?? 0) + taken.cost;
          }
          const difference = Math.abs((served.a ?? 0) - (served.b ?? 0));
          t.true(difference <= QUANTUM + 2 * MAX_COST, `difference ${difference}`);
        });
      },
    ),
  );
});

test('a customer that fills the queue loses its own newest entries, not those of others', (t) => {
  const queue = createFairQueue<Entry>(QUANTUM);
  const flood = Array.from({ length: 8 }, (_, id) => ({
    id,
    cost: 5,
    customerId: asId<never>('a'),
  }));
  flood.forEach((entry) => t.deepEqual(queue.enqueue(entry, bounds, false), []));
  const other = { id: 100, cost: 5, customerId: asId<never>('b') };
  t.deepEqual(queue.enqueue(other, bounds, false), [flood[7]]);
  t.true(queue.entries().includes(other));
});

test('a retry that goes to the front is served before the first attempts of its customer', (t) => {
  const queue = createFairQueue<Entry>(QUANTUM);
  const customerId = asId<never>('a');
  queue.enqueue({ id: 1, cost: 5, customerId }, bounds, false);
  queue.enqueue({ id: 2, cost: 5, customerId }, bounds, true);
  t.is(queue.dequeue(always, always)?.id, 2);
});

test('an entry without a place does not block the entries behind it', (t) => {
  const queue = createFairQueue<Entry>(QUANTUM);
  const customerId = asId<never>('a');
  queue.enqueue({ id: 1, cost: 5, customerId }, bounds, false);
  queue.enqueue({ id: 2, cost: 5, customerId }, bounds, false);
  t.is(queue.dequeue(always, ({ id }) => id === 2)?.id, 2);
});
