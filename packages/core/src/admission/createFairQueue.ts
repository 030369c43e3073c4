import type { CustomerId } from '../ids/CustomerId.js';
import type { FairQueue, FairQueueBounds, FairQueueEntry } from './FairQueue.js';

interface CustomerQueue<Entry> {
  readonly customerId: CustomerId;
  readonly entries: Entry[];
  cost: number;
  deficit: number;
}

/**
 * Creates a queue with deficit round robin between customers. While two customers both have entries
 * queued, the costs served to them differ by at most `quantum` plus twice the largest entry cost.
 *
 * @param quantum cost credited to a customer per turn
 */
export function createFairQueue<Entry extends FairQueueEntry>(quantum: number): FairQueue<Entry> {
  const customers = new Map<CustomerId, CustomerQueue<Entry>>();
  /** Customers with queued entries; the first one has its turn. */
  let ring: CustomerQueue<Entry>[] = [];
  /** Whether the first customer has received the quantum of its turn. */
  let granted = false;
  let size = 0;
  let totalCost = 0;

  function endTurn(): void {
    const first = ring.shift();
    if (first !== undefined) {
      ring.push(first);
    }
    granted = false;
  }

  function removeFrom(queue: CustomerQueue<Entry>, index: number): void {
    const [removed] = queue.entries.splice(index, 1);
    const cost = removed?.cost ?? 0;
    queue.cost -= cost;
    totalCost -= cost;
    size -= 1;
    if (queue.entries.length === 0) {
      granted &&= ring[0] !== queue;
      ring = ring.filter((candidate) => candidate !== queue);
      customers.delete(queue.customerId);
    }
  }

  function queueOf(customerId: CustomerId): CustomerQueue<Entry> {
    const existing = customers.get(customerId);
    if (existing !== undefined) {
      return existing;
    }
    const created = { customerId, entries: [], cost: 0, deficit: 0 };
    customers.set(customerId, created);
    ring.push(created);
    return created;
  }

  function evictLast(): Entry | undefined {
    const costliest = ring.reduce<CustomerQueue<Entry> | undefined>(
      (found, queue) => (found === undefined || queue.cost > found.cost ? queue : found),
      undefined,
    );
    const evicted = costliest?.entries.at(-1);
    if (costliest !== undefined) {
      removeFrom(costliest, costliest.entries.length - 1);
    }
    return evicted;
  }

  function evictBeyond({ maxEntries, maxCost }: FairQueueBounds): Entry[] {
    const evicted: Entry[] = [];
    while (size > 0 && (size > maxEntries || totalCost > maxCost)) {
      const entry = evictLast();
      if (entry !== undefined) {
        evicted.push(entry);
      }
    }
    return evicted;
  }

  return {
    enqueue(entry, bounds, atFront) {
      const queue = queueOf(entry.customerId);
      if (atFront) {
        queue.entries.unshift(entry);
      } else {
        queue.entries.push(entry);
      }
      queue.cost += entry.cost;
      totalCost += entry.cost;
      size += 1;
      return evictBeyond(bounds);
    },
    dequeue(isEligible, accept) {
      const rejected = new Set<Entry>();
      const initial = { ring: [...ring], granted, deficits: ring.map(({ deficit }) => deficit) };
      let skippedCustomers = 0;
      while (skippedCustomers < ring.length) {
        const queue = ring[0] as CustomerQueue<Entry>;
        const index = queue.entries.findIndex((entry) => !rejected.has(entry) && isEligible(entry));
        const entry = queue.entries[index];
        if (entry === undefined) {
          skippedCustomers += 1;
          endTurn();
          continue;
        }
        // The quantum is credited only when it is needed. Otherwise a customer whose entries are
        // not accepted would accumulate credit.
        if (!granted && queue.deficit < entry.cost) {
          granted = true;
          queue.deficit += quantum;
        }
        if (queue.deficit < entry.cost) {
          skippedCustomers = 0;
          endTurn();
        } else if (accept(entry)) {
          queue.deficit -= entry.cost;
          removeFrom(queue, index);
          return entry;
        } else {
          rejected.add(entry);
        }
      }
      // Restores the turn state when nothing was accepted. Otherwise the customers at the front of
      // the ring would get additional turns while the others wait.
      ({ ring, granted } = initial);
      ring.forEach((queue, position) => {
        queue.deficit = initial.deficits[position] ?? 0;
      });
      return undefined;
    },
    remove(entry) {
      const queue = customers.get(entry.customerId);
      const index = queue?.entries.indexOf(entry) ?? -1;
      if (queue === undefined || index < 0) {
        return false;
      }
      removeFrom(queue, index);
      return true;
    },
    entries: () => ring.flatMap((queue) => queue.entries),
    costUpTo(entry) {
      const ownCost = (customers.get(entry.customerId)?.cost ?? 0) + entry.cost;
      return ring
        .filter(({ customerId }) => customerId !== entry.customerId)
        .reduce((sum, queue) => sum + Math.min(queue.cost, ownCost), ownCost);
    },
    size: () => size,
    cost: () => totalCost,
  };
}
