import type { z } from 'zod';
import type { claimRecordSchema } from './claimRecordSchema.js';

/** Claim of a caller's own key. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
