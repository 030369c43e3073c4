import type { CustomerId } from '../ids/CustomerId.js';

export interface FairQueueEntry {
  readonly customerId: CustomerId;
  /** Cost of serving the entry, in the unit of the quantum. */
  readonly cost: number;
}

export interface FairQueueBounds {
  readonly maxEntries: number;
  readonly maxCost: number;
}

/** Bounded queue that serves customers by deficit round robin, each customer in order of arrival. */
export interface FairQueue<Entry extends FairQueueEntry> {
  /**
   * Adds an entry and returns those that do not fit, newest first: entries of the customer with
   * the highest queued cost, which can be the new entry itself.
   */
  enqueue(entry: Entry, bounds: FairQueueBounds, atFront: boolean): readonly Entry[];
  /**
   * Removes the next entry, in order of service, that is eligible and for which `accept` returns
   * true. `accept` is called at most once per entry.
   */
  dequeue(
    isEligible: (entry: Entry) => boolean,
    accept: (entry: Entry) => boolean,
  ): Entry | undefined;
  remove(entry: Entry): boolean;
  entries(): readonly Entry[];
  /** Cost that is served up to and including a new entry of a customer, served fairly. */
  costUpTo(entry: FairQueueEntry): number;
  size(): number;
  cost(): number;
}
