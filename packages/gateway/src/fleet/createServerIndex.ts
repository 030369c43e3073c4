import type { RegionId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceName } from '../model/ServiceName.js';

/** Servers by service and region. */
export interface ServerIndex {
  all(): readonly ServerState[];
  ofService(service: ServiceName, region: RegionId): readonly ServerState[];
}

const NO_SERVERS: readonly ServerState[] = [];

/** Creates an index, so that a choice does not look at the servers of all regions. */
export function createServerIndex(servers: readonly ServerState[]): ServerIndex {
  const byService = new Map<ServiceName, Map<RegionId | undefined, ServerState[]>>();
  servers.forEach((server) => {
    const { service } = server.registration;
    const byRegion = byService.get(service) ?? new Map<RegionId | undefined, ServerState[]>();
    const ofRegion = byRegion.get(server.region) ?? [];
    ofRegion.push(server);
    byRegion.set(server.region, ofRegion);
    byService.set(service, byRegion);
  });
  return {
    all: () => servers,
    ofService: (service, region) => byService.get(service)?.get(region) ?? NO_SERVERS,
  };
}
