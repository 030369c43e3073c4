import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type { CustomerId, HostId, RegionId, RelayedOrder, RequestId } from '@camphorbarrow/core';

/** Wire form of a relayed order. */
export const relayedOrderSchema = z.strictObject({
  regionId: z.string().transform((id) => asId<RegionId>(id)),
  fromHostId: z.string().transform((id) => asId<HostId>(id)),
  requestId: z.string().transform((id) => asId<RequestId>(id)),
  customerId: z.string().transform((id) => asId<CustomerId>(id)),
  homeRegionId: z
    .string()
    .transform((id) => asId<RegionId>(id))
    .optional(),
  permit: z.string().max(255),
  deadlineMs: z.int().min(1).optional(),
  serviceName: z.string(),
  method: z.string(),
  path: z.string().startsWith('/'),
  contentType: z.string().optional(),
  body: z.string().optional(),
}) satisfies z.ZodType<RelayedOrder>;
