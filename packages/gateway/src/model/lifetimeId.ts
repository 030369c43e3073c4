import type { ServerRegistration } from './ServerRegistration.js';

/** Id of one lifetime of a server's process that is the same on all entry hosts. */
export function lifetimeId({ id, startedAtMs, endpoint }: ServerRegistration): string {
  return `${id}#${startedAtMs ?? endpoint.host}`;
}
