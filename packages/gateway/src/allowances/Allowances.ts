import type { Customer } from '../model/Customer.js';

/** Whether a request lies within the allowance of its customer. */
export type AllowanceDecision =
  | {
      readonly kind: 'admitted';
      /** Gives the cost back when no server has run the request and none will. */
      readonly refund: () => void;
    }
  | {
      readonly kind: 'rejected';
      /** Time until the allowance has room for the request. */
      readonly retryAfterMs: number;
      readonly share: AllowanceShare;
    };

/**
 * Part of the allowance that had no room:
 * - `region`: that of an owner in the region, which others did not add to;
 * - `host`: that of this host, which is its own owner because it reaches no other;
 * - `unknown`: no owner answered in time.
 */
export type AllowanceShare = 'region' | 'host' | 'unknown';

/** Allowances of the customers, shared by all entry hosts. */
export interface Allowances {
  /**
   * Takes the cost of a request from the customer's allowance. May wait for other hosts, less than a
   * second; never rejects.
   *
   * @param cost in the unit of the customer's allowance
   */
  take(customer: Customer, cost: number): Promise<AllowanceDecision> | AllowanceDecision;
}
