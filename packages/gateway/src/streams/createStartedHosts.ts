import type { HostId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';

/** Other hosts whose process has been heard of for the first time, and that hold no records yet. */
export interface StartedHosts {
  /** Reads the heartbeats. */
  update(): void;
  /** Takes the hosts that were not taken before. */
  take(): ReadonlySet<HostId>;
}

/** Creates an empty set of hosts. */
export function createStartedHosts(
  peers: Pick<PeerRegistry, 'known' | 'knownHosts'>,
): StartedHosts {
  let readHosts: readonly HostRegistration[] | undefined;
  let incarnations: ReadonlyMap<HostId, string> = new Map();
  let started = new Set<HostId>();

  return {
    update() {
      if (readHosts === peers.knownHosts()) {
        return;
      }
      readHosts = peers.knownHosts();
      const current = new Map(
        peers.known().map(({ heartbeat: { host, incarnation } }) => [host.id, incarnation]),
      );
      current.forEach((incarnation, id) => {
        if (incarnations.get(id) !== incarnation) {
          started.add(id);
        }
      });
      incarnations = current;
    },
    take() {
      const taken = started;
      started = new Set();
      return taken;
    },
  };
}
