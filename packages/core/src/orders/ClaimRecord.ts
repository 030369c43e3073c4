import type { z } from 'zod';
import type { claimRecordSchema } from './claimRecordSchema.js';

/** Stored claim of an idempotency key that a caller chose. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
