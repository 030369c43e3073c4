import type { CustomerId } from '@camphorbarrow/core';
import murmurHash3 from 'imurmurhash';
import type { Allowance, Customer } from '../model/Customer.js';
import type { CustomerTable } from '../model/CustomerTable.js';

/**
 * Number of parts of the customers, each with an owner in every region. A host sends each owner a few
 * messages a second, however many customers there are.
 */
export const SLOT_COUNT = 2;

/** Customer that has an allowance. */
export type LimitedCustomer = Customer & { readonly allowance: Allowance };

/** Part that the customer belongs to, the same on every host. */
export const slotOf = (customer: CustomerId): number => murmurHash3(customer).result() % SLOT_COUNT;

export const isLimited = (customer: Customer): customer is LimitedCustomer =>
  customer.allowance !== undefined;

/** Customers with an allowance, by slot. */
export function limitedBySlot(
  customers: CustomerTable | undefined,
): ReadonlyMap<number, readonly LimitedCustomer[]> {
  const bySlot = new Map<number, LimitedCustomer[]>();
  customers?.byId.forEach((customer) => {
    if (isLimited(customer)) {
      const slot = slotOf(customer.id);
      const others = bySlot.get(slot);
      if (others === undefined) {
        bySlot.set(slot, [customer]);
      } else {
        others.push(customer);
      }
    }
  });
  return bySlot;
}
