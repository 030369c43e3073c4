import type { HostListEntry } from '@camphorbarrow/core';

/** Wire form of a host list entry, as `hostListEntrySchema` reads it. */
export interface WireHost {
  readonly serverId: string;
  readonly kind: 'engine' | 'service';
  readonly baseUrl: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly models: readonly string[];
  readonly serviceName?: string;
  readonly state: 'live' | 'leaving';
}

/** Converts a host list entry to its wire form. */
export function toWireHost(entry: HostListEntry): WireHost {
  const { regionId, availabilityZoneId, serviceName, ...rest } = entry;
  return {
    ...rest,
    region: regionId,
    availabilityZone: availabilityZoneId,
    ...(serviceName === undefined ? {} : { serviceName }),
  };
}
