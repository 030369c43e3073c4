import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type { AvailabilityZoneId, HostListEntry, RegionId, ServerId } from '@camphorbarrow/core';

/** Wire form of an entry of the host list (docs/platform.md). */
export const hostListEntrySchema = z
  .object({
    /** Visible ASCII characters, as can be sent in a header. */
    serverId: z.string().regex(/^[\x21-\x7e]{1,200}$/),
    kind: z.enum(['engine', 'service']),
    baseUrl: z.url({ protocol: /^https?$/ }),
    region: z.string(),
    availabilityZone: z.string(),
    models: z.array(z.string()).default([]),
    serviceName: z.string().optional(),
    state: z.enum(['live', 'leaving']),
  })
  .transform((host): HostListEntry => ({
    serverId: asId<ServerId>(host.serverId),
    kind: host.kind,
    baseUrl: host.baseUrl,
    regionId: asId<RegionId>(host.region),
    availabilityZoneId: asId<AvailabilityZoneId>(host.availabilityZone),
    models: host.models,
    serviceName: host.serviceName,
    state: host.state,
  }));
