import type { Clock, CustomerId, RegionId } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';
import { createCustomerShares } from './createCustomerShares.js';
import { createPriorityShedding } from './createPriorityShedding.js';

/** New request, as far as it matters to who is rejected first. */
export interface AdmissionRequest {
  readonly service: ServiceName;
  readonly rank: number;
  /** Whether the request cannot be on time any more, so that all others go first. */
  readonly isLate: boolean;
  /** Undefined for a caller without a key, and where the configuration has no customers. */
  readonly customer: CustomerId | undefined;
  /** Regions that may process the request; empty for all. */
  readonly homeRegions: readonly RegionId[];
  /** Work that the request causes. */
  readonly tokens: number;
}

/**
 * Why a request was rejected for overload: `full`: no server had room within its target or deadline;
 * `rank`: room was left to more urgent requests; `customer`: to customers that had less; `late`: to
 * requests that can still be on time.
 */
export type OverloadCause = 'full' | 'rank' | 'customer' | 'late';

/** Rank of requests that are late: after every rank of a route. */
export const LATE_RANK = 1_000;

/** Decides which requests are rejected first while room is short. */
export interface OverloadControl {
  /** Why a new request is rejected although a server has room for it; undefined if it is not. */
  shedCause(request: AdmissionRequest): Exclude<OverloadCause, 'full'> | undefined;
  recordSent(request: AdmissionRequest): void;
  /** Takes back the record of a request that was sent on at that time and rejected there. */
  retractSent(request: AdmissionRequest, sentAtMs: number): void;
  recordRejected(request: AdmissionRequest, cause: OverloadCause): void;
}

/**
 * Creates the decisions of one host on ranks and customers. They concern the servers of its region:
 * requests that may not run there neither compete for these servers nor get room when others leave it.
 *
 * @param region region of the host
 */
export function createOverloadControl(clock: Clock, region: RegionId): OverloadControl {
  const shedding = createPriorityShedding(clock);
  const shares = createCustomerShares(clock);

  const mayRunHere = ({ homeRegions }: AdmissionRequest): boolean =>
    homeRegions.length === 0 || homeRegions.includes(region);

  return {
    shedCause(request) {
      if (!mayRunHere(request)) {
        return undefined;
      }
      const { service, rank, customer, isLate } = request;
      if (customer !== undefined && shares.sheds(service, customer)) {
        return 'customer';
      }
      // Those that are late have had their share of room before they were rejected.
      if (isLate) {
        return shedding.rejectsMoreUrgent(service, rank) ? 'late' : undefined;
      }
      return shedding.sheds(service, rank) ? 'rank' : undefined;
    },
    recordSent(request) {
      if (!mayRunHere(request)) {
        return;
      }
      const { service, rank, customer, tokens } = request;
      shedding.record(service, rank, 'sent');
      if (customer !== undefined) {
        shares.record(service, customer, tokens, 'sent');
      }
    },
    retractSent(request, sentAtMs) {
      if (!mayRunHere(request)) {
        return;
      }
      const { service, rank, customer, tokens } = request;
      shedding.retractSent(service, rank, sentAtMs);
      if (customer !== undefined) {
        shares.retractSent(service, customer, tokens, sentAtMs);
      }
    },
    recordRejected(request, cause) {
      if (!mayRunHere(request)) {
        return;
      }
      const { service, rank, customer, tokens } = request;
      // What a customer asks beyond its share must not push out less urgent requests of others.
      if (cause !== 'customer') {
        shedding.record(service, rank, 'rejected');
      }
      if (customer !== undefined) {
        shares.record(service, customer, tokens, cause === 'full' ? 'full' : 'shed');
      }
    },
  };
}
