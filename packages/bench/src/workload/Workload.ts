import type { z } from 'zod';
import type { workloadSchema } from './workloadSchema.js';

/** A parsed workload file. */
export type Workload = z.infer<typeof workloadSchema>;
