import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type { ClaimQuery, Fingerprint, Incarnation, RegionId } from '@camphorbarrow/core';

/** Wire form of a query about a claim. */
export const claimQuerySchema = z.strictObject({
  regionId: z.string().transform((id) => asId<RegionId>(id)),
  claimId: z.uuid(),
  incarnation: z.string().transform((id) => asId<Incarnation>(id)),
  fingerprint: z.string().transform((id) => asId<Fingerprint>(id)),
  waitMs: z.number().min(0).max(60_000),
}) satisfies z.ZodType<ClaimQuery>;
