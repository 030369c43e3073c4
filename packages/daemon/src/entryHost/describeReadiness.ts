import type { PeerDescription } from '@camphorbarrow/core';

export interface HostState {
  readonly drainState: PeerDescription['state'];
  readonly hasConfiguration: boolean;
  /** Whether the servers of the region are known; requests before are rejected without a server. */
  readonly hasReadHostList: boolean;
}

/** Whether callers may use the host, and the reason reported by `GET /healthz`. */
export function describeReadiness({ drainState, hasConfiguration, hasReadHostList }: HostState): {
  readonly ready: boolean;
  readonly reason: string;
} {
  if (!hasConfiguration) {
    return { ready: false, reason: 'no-configuration' };
  }
  if (drainState !== 'live') {
    return { ready: false, reason: drainState };
  }
  return hasReadHostList
    ? { ready: true, reason: drainState }
    : { ready: false, reason: 'no-host-list' };
}
