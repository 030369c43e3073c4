import type { AllowanceBounds } from '../lifecycle/EntryHostOptions.js';
import type { Allowance } from '../model/Customer.js';

/** How the tolerance of an allowance is divided, in its unit and for all hosts together. */
export interface AllowanceBudget {
  /** Tokens that all owners together keep for a customer that sends nothing. */
  readonly capacity: number;
  /** Tokens that all owners together may hand out before they are refilled. */
  readonly debt: number;
  /** Tokens that all hosts together may use before an owner has granted them. */
  readonly hostCredit: number;
  /**
   * Tokens that all hosts together may use ahead of grants while the owners hold more, or when none
   * answers in time.
   */
  readonly calmCredit: number;
}

/** Part of the slack that is kept beside the burst, so that shares hold at least one request. */
const CAPACITY_PART_OF_SLACK = 0.25;
/** A request is admitted at a level above zero, so that long requests pass as often as short ones. */
const DEBT_PART_OF_SLACK = 0.35;
/** Part of the excess that is used for tokens in transit; the rest covers changes of owners. */
const TRANSIT_PART_OF_EXCESS = 0.5;
/** Parts of the tolerance that hosts use ahead of grants, so that short requests need not wait. */
const CREDIT_PART_OF_EXCESS = 0.25;
const CREDIT_PART_OF_SLACK = 0.1;
/** Parts of the tolerance that hosts use while owners hold at least half of the capacity. */
const CALM_CREDIT_PART_OF_CAPACITY = 1;
const CALM_CREDIT_PART_OF_SLACK = 0.25;
/** Covers an exchange between two regions. */
const MIN_LIFETIME_MS = 200;
const MAX_LIFETIME_MS = 400;
/** Without any burst, no request would ever be admitted. */
export const MIN_CAPACITY_S = 0.5;

/** Divides the tolerance of an allowance; without bounds, there is none. */
export function allowanceBudget(
  { ratePerSecond, burst, unit, plainTokens }: Allowance,
  bounds: AllowanceBounds | undefined,
): AllowanceBudget {
  const slack = bounds?.slack ?? 0;
  const windowS = (bounds?.windowMs ?? 0) / 1_000;
  const excess = (bounds?.excessRatio ?? 0) * ratePerSecond * windowS;
  // Hosts learn only later that their owner holds less.
  const hasTolerance = excess + slack > 0;
  const plainCost = unit === 'requests' ? 1 : plainTokens;
  const capacity = Math.max(
    burst + CAPACITY_PART_OF_SLACK * slack,
    MIN_CAPACITY_S * ratePerSecond,
    plainCost,
  );
  return {
    capacity,
    debt: DEBT_PART_OF_SLACK * slack,
    hostCredit: CREDIT_PART_OF_EXCESS * excess + CREDIT_PART_OF_SLACK * slack,
    calmCredit: hasTolerance
      ? CALM_CREDIT_PART_OF_CAPACITY * capacity + CALM_CREDIT_PART_OF_SLACK * slack
      : 0,
  };
}

/**
 * Time after which tokens that left an owner are void, in ms. Within it, the owner counts them as its
 * own, so that the tokens of a customer are bounded although messages are delayed.
 */
export function tokenLifetimeMs(bounds: AllowanceBounds | undefined): number {
  const transitMs = TRANSIT_PART_OF_EXCESS * (bounds?.excessRatio ?? 0) * (bounds?.windowMs ?? 0);
  return Math.min(MAX_LIFETIME_MS, Math.max(MIN_LIFETIME_MS, transitMs));
}
