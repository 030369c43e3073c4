import type { Workload } from './Workload.js';

/** Floods and faults of one run. */
export type WorkloadCase = Workload['cases'][string];
