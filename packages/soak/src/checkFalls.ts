import type { Violation } from './Violation.js';

/** Falls that the platform tolerates in one time in which servers are fragile, and per server. */
const MAX_FALLS = 2;
const MAX_FALLS_PER_SERVER = 0.1;

/** A server that fell over because it had rejected too much in a second. */
export interface Fall {
  readonly server: string;
  /** Attempt ids of the requests that it rejected in that second. */
  readonly rejected: readonly string[];
}

export interface FallEvidence {
  readonly falls: readonly Fall[];
  readonly serverCount: number;
  /** Index of the host that a caller sent the request to; undefined if it is not known. */
  readonly hostOf: (attemptId: string) => number | undefined;
  /** Index of the host that was killed or paused meanwhile. */
  readonly disturbedHost: number;
}

/** Checks that fragile servers are kept from falling over by the hosts that were not disturbed. */
export function checkFalls(evidence: FallEvidence): Violation[] {
  const { falls, serverCount, hostOf, disturbedHost } = evidence;
  const counted = falls.filter(({ rejected }) => {
    const disturbed = rejected.filter((attemptId) => hostOf(attemptId) === disturbedHost);
    return disturbed.length * 2 < rejected.length;
  });
  return counted.length <= MAX_FALLS + MAX_FALLS_PER_SERVER * serverCount
    ? []
    : [
        {
          promise: 'brittle',
          detail: `${counted.length} falls of ${serverCount} servers, of ${falls.length} in all`,
        },
      ];
}
