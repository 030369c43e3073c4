import type { ClassSummary } from './ClassSummary.js';

/** Results of one policy on one case and seed. */
export interface RunSummary {
  readonly workload: string;
  readonly caseName: string;
  readonly policy: string;
  readonly seed: number;
  /** By rank, and `service` for all service calls. */
  readonly classes: Readonly<Record<'urgent' | 'patient' | 'service', ClassSummary>>;
  readonly worth: number;
  /** Share of inference requests sent to another region. */
  readonly spilledRatio: number;
  /** Share of looked-up prompt tokens that an engine had in its prefix cache. */
  readonly cacheHitRatio: number;
  /** Busy seconds of engines per good response to an inference request. */
  readonly serverSecondsPerGood: number | undefined;
  /** Attempts at engines beyond the first one, per inference request. */
  readonly retriesPerRequest: number;
  /** Attempts at engines per inference request with at least one attempt. */
  readonly loadFactor: number;
  /** Failed requests of all classes by error code. */
  readonly refusals: Readonly<Record<string, number>>;
}
