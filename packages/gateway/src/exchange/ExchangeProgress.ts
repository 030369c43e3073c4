import type { ServerId } from '@camphorbarrow/core';
import type { LocalChoice, RegionChoice } from '../routing/Destination.js';
import type { BufferedResponse } from './AttemptResult.js';

/** How far the tries of one request have got. */
export interface ExchangeProgress {
  attempts: number;
  /** Servers that may have run the request. */
  runs: number;
  lastEventId: string | undefined;
  errorResponse: BufferedResponse | undefined;
  readonly triedServers: Set<ServerId>;
  readonly triedRegions: Set<string>;
  readonly causes: string[];
  /** When a refused request should come back. */
  retryAfterMs: number;
  /** The newest choice of the router, also when it was refused. */
  lastChoice: LocalChoice | RegionChoice | undefined;
  /** Events that were forwarded. */
  eventCount: number;
  reportedWaiting: number | undefined;
  /** Time from the request's arrival to its first event or answer. */
  firstEventMs: number | undefined;
}
