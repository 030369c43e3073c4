import type { Clock, CustomerId } from '@camphorbarrow/core';
import type { Allowance } from '../model/Customer.js';
import { MAX_ROWS } from './allowanceMessages.js';
import type { TokenRequestRow } from './allowanceMessages.js';
import { SLOT_COUNT } from './allowanceSlots.js';
import type { LimitedCustomer } from './allowanceSlots.js';
import { createCustomerAccount } from './createCustomerAccount.js';
import type { CustomerAccount, HostCredit } from './createCustomerAccount.js';

/** Decimal places of amounts in messages; amounts of requests may be fractions. */
const PRECISION = 1_000;

const roundUp = (amount: number): number => Math.ceil(amount * PRECISION) / PRECISION;

/** Accounts of the customers that have requests at this host, by slot. */
export interface Accounts {
  /** Account in the unit of the customer's allowance. */
  of(slot: number, customer: LimitedCustomer): CustomerAccount;
  find(slot: number, id: CustomerId): CustomerAccount | undefined;
  /** Whether requests of the slot's customers wait for tokens that are to be asked for now. */
  needsTokens(slot: number): boolean;
  /** Largest part of a customer's credit that is used and still to be asked for; 0 if none is. */
  usedCreditRatio(slot: number): number;
  /** What to ask the slot's owner for and to give back to it. */
  takeRows(slot: number): readonly TokenRequestRow[];
  /** Rejects requests that have waited for too long. */
  endWaits(): void;
  /** Drops accounts without requests and tokens, and those of customers without an allowance. */
  dropUnused(): void;
}

export interface AccountsOptions {
  readonly clock: Clock;
  /** A number in [0, 1), which spreads retries. */
  readonly random: () => number;
  readonly creditOf: (slot: number, customer: CustomerId) => HostCredit;
  readonly hasAllowance: (customer: CustomerId) => boolean;
}

interface AccountEntry {
  readonly account: CustomerAccount;
  readonly unit: Allowance['unit'];
}

export function createAccounts(options: AccountsOptions): Accounts {
  const { clock, random } = options;
  const bySlot = Array.from({ length: SLOT_COUNT }, () => new Map<CustomerId, AccountEntry>());
  const accountsOf = (slot: number) => bySlot[slot] as Map<CustomerId, AccountEntry>;

  return {
    of(slot, { id, allowance: { unit } }) {
      const accounts = accountsOf(slot);
      const known = accounts.get(id);
      if (known?.unit === unit) {
        return known.account;
      }
      known?.account.close();
      const account = createCustomerAccount({
        clock,
        random,
        credit: () => options.creditOf(slot, id),
      });
      accounts.set(id, { account, unit });
      return account;
    },
    find: (slot, id) => accountsOf(slot).get(id)?.account,
    needsTokens(slot) {
      for (const { account } of accountsOf(slot).values()) {
        if (account.isWaiting()) {
          return true;
        }
      }
      return false;
    },
    usedCreditRatio(slot) {
      let ratio = 0;
      accountsOf(slot).forEach(({ account }) => {
        ratio = Math.max(ratio, account.usedCreditRatio());
      });
      return ratio;
    },
    takeRows(slot) {
      const rows: TokenRequestRow[] = [];
      accountsOf(slot).forEach(({ account, unit }, customer) => {
        if (rows.length >= MAX_ROWS) {
          return;
        }
        const need = roundUp(account.need());
        const least = need > 0 ? account.least() : 0;
        const foretold = need > 0 ? Math.min(need, account.foretold()) : 0;
        const owed = need > 0 ? Math.min(need, roundUp(account.owed())) : 0;
        const unused = need > 0 ? 0 : account.removeUnused();
        if (need > 0) {
          account.recordQuestion();
        }
        if (need > 0 || unused > 0) {
          rows.push({ customer, unit, need, least, unused, foretold, owed });
        }
      });
      return rows;
    },
    endWaits() {
      bySlot.forEach((accounts) => accounts.forEach(({ account }) => account.endWaits()));
    },
    dropUnused() {
      bySlot.forEach((accounts) =>
        accounts.forEach(({ account }, id) => {
          if (!options.hasAllowance(id)) {
            account.close();
          }
          if (account.isIdle()) {
            accounts.delete(id);
          }
        }),
      );
    },
  };
}
