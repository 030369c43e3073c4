import type { RequestClass } from './RequestClass.js';

/** One request of a caller, drawn before the run so that all policies see the same requests. */
export interface Arrival {
  readonly index: number;
  readonly atMs: number;
  readonly requestClass: RequestClass;
  readonly regionIndex: number;
  /** Index of the entry host within its region. */
  readonly hostIndex: number;
  readonly customer: number;
  /** Whether the request must be served in the region where it arrives. */
  readonly bound: boolean;
  readonly ownPromptTokens: number;
  readonly outputTokens: number;
}
