import { z } from 'zod';

/**
 * Claim of a caller's own key as it is stored. It may lie in another region's store, so it holds
 * nothing of the order.
 */
export const claimRecordSchema = z.strictObject({
  claimId: z.uuid(),
  hostId: z.string(),
  incarnation: z.string(),
  state: z.enum(['claimed', 'abandoned']),
  claimedAtMs: z.number(),
});
