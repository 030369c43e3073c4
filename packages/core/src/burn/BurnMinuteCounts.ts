import type { ServiceClass } from './ServiceClass.js';
import type { ServiceResult } from './ServiceResult.js';

/** Number of requests that ended on one entry host in one minute, by class and result. */
export interface BurnMinuteCounts {
  /** Whole minutes since the Unix epoch. */
  readonly minute: number;
  readonly counts: Readonly<Partial<Record<ServiceClass, Partial<Record<ServiceResult, number>>>>>;
}
