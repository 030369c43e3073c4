import { z } from 'zod';

/** Wire form of a load report (docs/platform.md). */
export const loadReportSchema = z.object({
  incarnation: z.string().min(1),
  state: z.enum(['live', 'leaving']),
  runningRequests: z.int().min(0),
  waitingRequests: z.int().min(0),
  waitingTokens: z.int().min(0).default(0),
  maxConcurrentRequests: z.int().min(1).default(1),
  kvCacheUsageRatio: z.number().min(0).max(1).default(0),
});
