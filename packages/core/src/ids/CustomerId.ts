import type { Brand } from './Brand.js';

/** Name of a customer, as in the fleet configuration. */
export type CustomerId = Brand<string, 'CustomerId'>;
