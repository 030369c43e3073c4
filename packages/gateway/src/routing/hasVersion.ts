import type { RegionId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';

/** Whether a server of the service has the version, in the region if one is given. */
export function hasVersion(
  servers: readonly ServerState[],
  service: ServiceName,
  version: SoftwareVersion,
  region?: RegionId,
): boolean {
  return servers.some(
    (server) =>
      server.registration.service === service &&
      server.registration.softwareVersion === version &&
      (region === undefined || server.region === region),
  );
}
