import { readFile } from 'node:fs/promises';
import { parseJsonc } from '@camphorbarrow/core';
import type { Workload } from '../src/workload/Workload.js';
import { workloadSchema } from '../src/workload/workloadSchema.js';

/** Reads a workload and shortens it to 30 seconds, with all floods and faults from 8 to 20 s. */
export async function smallWorkload(name: string): Promise<Workload> {
  const url = new URL(`../workloads/${name}.jsonc`, import.meta.url);
  const workload = parseJsonc(name, await readFile(url, 'utf8'), workloadSchema);
  const window = { fromMs: 8_000, toMs: 20_000 };
  return {
    ...workload,
    durationMs: 30_000,
    warmUpMs: 2_000,
    cases: Object.fromEntries(
      Object.entries(workload.cases).map(([caseName, { floods, faults }]) => [
        caseName,
        {
          floods: floods.map((flood) => ({ ...flood, ...window })),
          faults: faults.map((fault) => ({ ...fault, ...window })),
        },
      ]),
    ),
  };
}
