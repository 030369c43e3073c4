/** Region in which requests of the customer with a home region run. */
export const CUSTOMER_HOME = 'south';

/** Customers of the system under test, in the form of the operator's configuration. */
export const soakCustomers = [
  { name: 'guild', api_keys: ['guild-key'] },
  { name: 'shop', api_keys: ['shop-key'], home_regions: [CUSTOMER_HOME] },
] as const;

/** Key that a caller sends, and the customer that holds it. */
export interface SoakKey {
  readonly key: string;
  /** Undefined for a key that no customer holds. */
  readonly customer: string | undefined;
}

const KEYS: readonly SoakKey[] = [
  ...soakCustomers.map(({ name, api_keys: [key] }) => ({ key, customer: name })),
  { key: 'unknown-key', customer: undefined },
];

/** Key of the n-th request of a caller. */
export const soakKey = (count: number): SoakKey =>
  KEYS[count % KEYS.length] ?? { key: '', customer: undefined };
