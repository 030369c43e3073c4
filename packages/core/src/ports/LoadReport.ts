import type { Incarnation } from '../ids/Incarnation.js';

/** Load as a backend server reports it. Reports lag behind the truth. */
export interface LoadReport {
  readonly incarnation: Incarnation;
  readonly state: 'live' | 'leaving';
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly waitingTokens: number;
  readonly maxConcurrentRequests: number;
  /** Used share of the KV cache memory, from 0 to 1. */
  readonly kvCacheUsageRatio: number;
}
