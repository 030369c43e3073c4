import type { Clock, CustomerId, HostId } from '@camphorbarrow/core';
import { SLOT_COUNT } from './allowanceSlots.js';

/** Time for which an answer of an owner tells which customers run short. */
const MAX_AGE_MS = 1_500;

/** Customers for whom the owners of their slots have enough tokens. */
export interface CalmCustomers {
  /**
   * Records an answer.
   *
   * @param askedAtMs monotonic time of the question
   * @param short customers that run short; undefined if all may
   */
  record(
    slot: number,
    owner: HostId,
    askedAtMs: number,
    short: readonly CustomerId[] | undefined,
  ): void;
  /** Records customers that run short since the latest answer of this owner. */
  recordShort(slot: number, owner: HostId, short: readonly CustomerId[] | undefined): void;
  /** Whether the latest answer is recent, of this owner, and does not name the customer. */
  has(slot: number, owner: HostId, customer: CustomerId): boolean;
}

interface OwnersAnswer {
  readonly owner: HostId;
  readonly askedAtMs: number;
  readonly short: ReadonlySet<CustomerId>;
}

/** Creates a view of what the latest answers told; without one, all customers may run short. */
export function createCalmCustomers(clock: Clock): CalmCustomers {
  const latest = Array<OwnersAnswer | undefined>(SLOT_COUNT).fill(undefined);

  /** Customers that run short, if the latest answer tells. */
  function shortOf(slot: number, owner: HostId): ReadonlySet<CustomerId> | undefined {
    const answer = latest[slot];
    return answer?.owner === owner && clock.monotonicMs() - answer.askedAtMs < MAX_AGE_MS
      ? answer.short
      : undefined;
  }

  return {
    record(slot, owner, askedAtMs, short) {
      if (askedAtMs >= (latest[slot]?.askedAtMs ?? -Infinity)) {
        latest[slot] =
          short === undefined ? undefined : { owner, askedAtMs, short: new Set(short) };
      }
    },
    recordShort(slot, owner, short) {
      const answer = latest[slot];
      if (answer?.owner === owner) {
        latest[slot] =
          short === undefined
            ? undefined
            : { ...answer, short: new Set([...answer.short, ...short]) };
      }
    },
    has: (slot, owner, customer) => shortOf(slot, owner)?.has(customer) === false,
  };
}
