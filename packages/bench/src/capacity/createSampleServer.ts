import { asId } from '@camphorbarrow/core';
import type { AvailabilityZoneId, HostListEntry, RegionId, ServerId } from '@camphorbarrow/core';

/** Creates the host list entry of one engine; the index selects the server. */
export function createSampleServer(index: number): HostListEntry {
  return {
    serverId: asId<ServerId>(`region-1-engine-${index}`),
    kind: 'engine',
    baseUrl: `http://10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:8000`,
    regionId: asId<RegionId>('region-1'),
    availabilityZoneId: asId<AvailabilityZoneId>('region-1-b'),
    models: ['drafting-large'],
    state: 'live',
  };
}
