import { LRUCache } from 'lru-cache';
import type { Clock, CustomerId } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';
import { fairLevel } from './fairLevel.js';

/** Time constant of the averages; a host gets about one request a second of most customers. */
const AVERAGING_MS = 3_000;
/** Time constant of the share of requests that find no room, so that shedding ends soon. */
const PRESSURE_AVERAGING_MS = 700;
/** Share of requests that find no room, from which customers are held to their fair share. */
const MIN_REJECTED_RATIO = 0.05;
/** Excess over the fair share that is allowed, so that no room stays unused. */
const TOLERANCE_RATIO = 1.2;
/** Age up to which a fair share is used again. */
const LEVEL_MAX_AGE_MS = 50;
/** Customers of a service with counts; the ones without requests for longest are dropped. */
const MAX_CUSTOMERS = 512;

/** What became of a new request: `full`: no server had room; `shed`: room was left to others. */
export type AdmissionOutcome = 'sent' | 'full' | 'shed';

/** Decides which requests are rejected for the sake of other customers. */
export interface CustomerShares {
  /** Whether a new request of the customer is rejected because others have had less. */
  sheds(service: ServiceName, customer: CustomerId): boolean;
  /**
   * Records a new request.
   *
   * @param tokens work that it causes
   */
  record(
    service: ServiceName,
    customer: CustomerId,
    tokens: number,
    outcome: AdmissionOutcome,
  ): void;
  /** Takes back the record of a request that was sent on at that time and rejected there. */
  retractSent(service: ServiceName, customer: CustomerId, tokens: number, sentAtMs: number): void;
}

interface Usage {
  /** Decaying sums of tokens. */
  asked: number;
  sent: number;
}

interface ServiceUsage {
  readonly customers: LRUCache<CustomerId, Usage>;
  /** Decaying counts of requests. */
  requests: number;
  full: number;
  updatedAtMs: number;
  level: number;
  levelAtMs: number;
}

/**
 * Creates the decision for one host. It answers a customer that sends many times its usual: its
 * requests fill the queues of the servers, and the others are rejected as often as it is. While
 * requests find no room, each customer gets at most its max-min fair share of the work that the host
 * sends on; a customer that asks for less than that is not rejected for the sake of others.
 *
 * Only rejections for full servers show that room is short. When they end, so does the shedding,
 * also if the work that is sent on has become less.
 */
export function createCustomerShares(clock: Clock): CustomerShares {
  const services = new Map<ServiceName, ServiceUsage>();

  function decay(usage: ServiceUsage): void {
    const nowMs = clock.monotonicMs();
    const factor = Math.exp((usage.updatedAtMs - nowMs) / AVERAGING_MS);
    const pressureFactor = Math.exp((usage.updatedAtMs - nowMs) / PRESSURE_AVERAGING_MS);
    usage.requests *= pressureFactor;
    usage.full *= pressureFactor;
    usage.customers.forEach((each) => {
      each.asked *= factor;
      each.sent *= factor;
    });
    usage.updatedAtMs = nowMs;
  }

  function usageOf(service: ServiceName): ServiceUsage {
    const nowMs = clock.monotonicMs();
    const usage = services.get(service) ?? {
      customers: new LRUCache<CustomerId, Usage>({ max: MAX_CUSTOMERS }),
      requests: 0,
      full: 0,
      updatedAtMs: nowMs,
      level: Infinity,
      levelAtMs: -Infinity,
    };
    services.set(service, usage);
    return usage;
  }

  function levelOf(usage: ServiceUsage): number {
    const nowMs = clock.monotonicMs();
    if (nowMs - usage.levelAtMs > LEVEL_MAX_AGE_MS) {
      decay(usage);
      const customers = [...usage.customers.values()];
      const isShort = usage.full > MIN_REJECTED_RATIO * (usage.requests + 1);
      const sent = customers.reduce((sum, each) => sum + each.sent, 0);
      usage.levelAtMs = nowMs;
      usage.level = isShort
        ? fairLevel(
            customers.map(({ asked }) => asked),
            sent,
          )
        : Infinity;
    }
    return usage.level;
  }

  return {
    sheds(service, customer) {
      const usage = usageOf(service);
      const sent = usage.customers.peek(customer)?.sent ?? 0;
      return sent > levelOf(usage) * TOLERANCE_RATIO;
    },
    retractSent(service, customer, tokens, sentAtMs) {
      const usage = usageOf(service);
      decay(usage);
      const ageMs = clock.monotonicMs() - sentAtMs;
      usage.requests = Math.max(0, usage.requests - Math.exp(-ageMs / PRESSURE_AVERAGING_MS));
      const each = usage.customers.peek(customer);
      if (each !== undefined) {
        const restTokens = tokens * Math.exp(-ageMs / AVERAGING_MS);
        each.asked = Math.max(0, each.asked - restTokens);
        each.sent = Math.max(0, each.sent - restTokens);
      }
    },
    record(service, customer, tokens, outcome) {
      const usage = usageOf(service);
      decay(usage);
      const each = usage.customers.get(customer) ?? { asked: 0, sent: 0 };
      usage.customers.set(customer, each);
      usage.requests += 1;
      usage.full += outcome === 'full' ? 1 : 0;
      each.asked += tokens;
      each.sent += outcome === 'sent' ? tokens : 0;
    },
  };
}
