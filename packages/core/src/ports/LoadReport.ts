import type { Incarnation } from '../ids/Incarnation.js';

/** Load reported by a backend server. Reports may be out of date. */
export interface LoadReport {
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'leaving';
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly waitingTokens: number;
  readonly maxConcurrentRequests: number;
  /** Share of the KV cache memory in use, from 0 to 1. */
  readonly kvCacheUsageRatio: number;
}
