import { z } from 'zod';
import { asId, regionLoadLimits } from '@camphorbarrow/core';
import type {
  AvailabilityZoneId,
  Heartbeat,
  HostId,
  Incarnation,
  RegionId,
} from '@camphorbarrow/core';

const requestCount = z.int().min(0).max(regionLoadLimits.maxRequests);

const regionLoadSchema = z.object({
  capacity: requestCount,
  inUse: requestCount,
  firstTokenWaitMs: z.int().min(0).max(regionLoadLimits.maxWaitMs),
  spilling: z.boolean(),
});

const peerDescriptionSchema = z.object({
  hostId: z.string().transform((id) => asId<HostId>(id)),
  incarnation: z.string().transform((id) => asId<Incarnation>(id)),
  startedAtMs: z.number(),
  regionId: z.string().transform((id) => asId<RegionId>(id)),
  availabilityZoneId: z.string().transform((id) => asId<AvailabilityZoneId>(id)),
  callerUrl: z.url(),
  peerUrl: z.url(),
  state: z.enum(['live', 'draining']),
  sequence: z.int().min(0),
  configVersion: z.int().min(0),
  configChangeId: z.string().max(128),
  regionLoad: regionLoadSchema.optional(),
});

/** Wire form of a heartbeat. */
export const heartbeatSchema = z.object({
  sender: peerDescriptionSchema,
  known: z.array(peerDescriptionSchema).max(256),
}) satisfies z.ZodType<Heartbeat>;
