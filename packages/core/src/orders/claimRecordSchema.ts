import { z } from 'zod';

/**
 * Stored form of a claim of a caller's own key. The record may be stored in another region, so it
 * contains no data of the order.
 */
export const claimRecordSchema = z.strictObject({
  claimId: z.uuid(),
  hostId: z.string(),
  incarnation: z.string(),
  state: z.enum(['claimed', 'abandoned']),
  claimedAtMs: z.number(),
});
