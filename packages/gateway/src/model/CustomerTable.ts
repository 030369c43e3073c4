import type { CustomerId } from '@camphorbarrow/core';
import type { Customer } from './Customer.js';

/** Customers of a configuration and the keys that identify them. */
export interface CustomerTable {
  readonly byId: ReadonlyMap<CustomerId, Customer>;
  /** Customer by API key. A key that several customers list identifies none of them. */
  readonly byKey: ReadonlyMap<string, Customer>;
  /** Entries of the configuration that were left out, each with the reason. */
  readonly problems: readonly string[];
}
