import type { CustomerId } from '../ids/CustomerId.js';

export interface FairQueueEntry {
  readonly customerId: CustomerId;
  /** Cost of serving the entry, in the same unit as the quantum. */
  readonly cost: number;
}

export interface FairQueueBounds {
  readonly maxEntries: number;
  readonly maxCost: number;
}

/** Bounded queue with deficit round robin between customers, and FIFO order within a customer. */
export interface FairQueue<Entry extends FairQueueEntry> {
  /**
   * Adds an entry and returns the entries that were evicted to stay within the bounds. The last
   * entry of the customer with the highest queued cost is evicted first; it can be the added entry.
   */
  enqueue(entry: Entry, bounds: FairQueueBounds, atFront: boolean): readonly Entry[];
  /**
   * Removes and returns the next entry in service order that is eligible and that `accept` returns
   * true for. `accept` is called at most once per entry.
   */
  dequeue(
    isEligible: (entry: Entry) => boolean,
    accept: (entry: Entry) => boolean,
  ): Entry | undefined;
  remove(entry: Entry): boolean;
  entries(): readonly Entry[];
  /** Cost that fair scheduling serves up to and including the given entry, if it were added now. */
  costUpTo(entry: FairQueueEntry): number;
  size(): number;
  cost(): number;
}
