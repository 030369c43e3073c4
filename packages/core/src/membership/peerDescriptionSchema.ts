import { z } from 'zod';
import { asId } from '../ids/asId.js';
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js';
import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import { regionLoadLimits } from '../routing/spill/regionLoadLimits.js';
import type { PeerDescription } from './PeerDescription.js';

const requestCount = z.int().min(0).max(regionLoadLimits.maxRequests);

const regionLoadSchema = z.object({
  capacity: requestCount,
  inUse: requestCount,
  firstTokenWaitMs: z.int().min(0).max(regionLoadLimits.maxWaitMs),
  spilling: z.boolean(),
});

/** Text that can be sent as the value of a header. */
const name = z.string().regex(/^[\x20-\x7e\xa0-\xff]{1,200}$/);
const url = z.url({ protocol: /^https?$/ });

/** Description of an entry host, in a heartbeat or in the key-value service. */
export const peerDescriptionSchema = z.object({
  hostId: name.transform((id) => asId<HostId>(id)),
  incarnation: z.string().transform((id) => asId<Incarnation>(id)),
  startedAtMs: z.number().min(0).max(Number.MAX_SAFE_INTEGER),
  regionId: name.transform((id) => asId<RegionId>(id)),
  availabilityZoneId: z.string().transform((id) => asId<AvailabilityZoneId>(id)),
  callerUrl: url,
  peerUrl: url,
  state: z.enum(['live', 'draining']),
  sequence: z.int().min(0),
  configVersion: z.int().min(0),
  configChangeId: z.string().max(128),
  regionLoad: regionLoadSchema.optional(),
}) satisfies z.ZodType<PeerDescription>;
