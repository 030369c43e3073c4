import { asId } from '@camphorbarrow/core';
import type {
  AvailabilityZoneId,
  HostId,
  Incarnation,
  PeerDescription,
  RegionId,
} from '@camphorbarrow/core';

const REGIONS = 24;

/** Creates the description of an entry host as sent in a heartbeat; the index selects the host. */
export function createSamplePeer(index: number, sequence = 1): PeerDescription {
  const region = index % REGIONS;
  const address = `10.${region}.${Math.floor(index / 250)}.${1 + (index % 250)}`;
  return {
    hostId: asId<HostId>(`region-${region}-entry-${index}`),
    incarnation: asId<Incarnation>(`3f2b9c61-52d7-4f0e-9a44-${String(index).padStart(12, '0')}`),
    startedAtMs: 1_700_000_000_000 + index,
    regionId: asId<RegionId>(`region-${region}`),
    availabilityZoneId: asId<AvailabilityZoneId>(`region-${region}-b`),
    callerUrl: `http://${address}:8080`,
    peerUrl: `http://${address}:9090`,
    state: 'live',
    sequence: 100_000 + sequence,
    configVersion: 12_345,
    configChangeId: '9c1d6a0e-4b1e-4c83-8a52-000000012345',
    regionLoad: { capacity: 11_000, inUse: 7_345, firstTokenWaitMs: 240, spilling: false },
  };
}
