import type { Workload } from './Workload.js';

/** One kind of request of a workload. */
export type RequestClass = Workload['classes'][number];
