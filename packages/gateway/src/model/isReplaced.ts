import type { ServerRegistration } from './ServerRegistration.js';

/**
 * Whether the entry describes a later start of a server than an earlier entry under the same id. An
 * entry may be outdated or come from another program, so one that names no start time or an earlier
 * one describes no later start.
 */
export function isReplaced(earlier: ServerRegistration, entry: ServerRegistration): boolean {
  if (earlier.startedAtMs !== undefined && entry.startedAtMs !== undefined) {
    return entry.startedAtMs > earlier.startedAtMs;
  }
  const isSameEndpoint =
    earlier.endpoint.host === entry.endpoint.host && earlier.endpoint.port === entry.endpoint.port;
  // Without start times, a new start shows in the sequence number, which begins anew.
  return (
    !isSameEndpoint || (earlier.startedAtMs === undefined && entry.sequence < earlier.sequence)
  );
}
