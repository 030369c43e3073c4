import type { FleetView } from '../fleet/createFleetView.js';
import type { ServerState } from '../model/ServerState.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { ServerHealth } from '../routing/createServerHealth.js';
import type { StreamVersions } from './createStreamVersions.js';

export interface ServerVersionsOptions {
  readonly view: Pick<FleetView, 'servers'>;
  readonly health: Pick<ServerHealth, 'isConfirmed'>;
  readonly isMixed: StreamVersions['isMixed'];
}

/**
 * Creates a function that returns the version of the process that responds as a server. A server may
 * have started again with another version since the entry from which it was chosen: the version is
 * undefined if another entry has replaced that one, or if the process was lost and no heartbeat has
 * arrived since.
 */
export function createServerVersions({
  view,
  health,
  isMixed,
}: ServerVersionsOptions): (server: ServerState) => SoftwareVersion | undefined {
  return (server) => {
    const { id, service, softwareVersion } = server.registration;
    if (!isMixed(service)) {
      return softwareVersion;
    }
    // A server whose entry was removed goes on for a while.
    const current = view.servers.get(id) ?? server;
    const isCertain = current.incarnation === server.incarnation && health.isConfirmed(current);
    return isCertain ? softwareVersion : undefined;
  };
}
