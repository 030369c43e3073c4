import type { RequestClass } from './RequestClass.js';

/** One request of a caller, drawn before the run so that all policies see the same requests. */
export interface Arrival {
  readonly index: number;
  readonly atMs: number;
  readonly requestClass: RequestClass;
  readonly regionIndex: number;
  /** Entry host of the region, by its position. */
  readonly hostIndex: number;
  readonly customer: number;
  /** Whether the request may not leave its region. */
  readonly bound: boolean;
  readonly ownPromptTokens: number;
  readonly outputTokens: number;
}
