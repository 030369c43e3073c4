import { UnknownChoiceError } from '../errors/UnknownChoiceError.js';
import { parsePolicy } from '../policies/parsePolicy.js';
import type { RunSummary } from '../report/RunSummary.js';
import { summarizeRun } from '../report/summarizeRun.js';
import type { Workload } from '../workload/Workload.js';
import { drawArrivals } from '../workload/drawArrivals.js';
import { runExperiment } from './runExperiment.js';

export interface BenchOptions {
  readonly workload: Workload;
  readonly caseNames: readonly string[];
  readonly policyNames: readonly string[];
  readonly seeds: readonly number[];
}

/**
 * Runs every policy on every case and seed. All policies see the same arrivals.
 *
 * @throws UnknownChoiceError when a policy or a case does not exist
 */
export async function runBench(options: BenchOptions): Promise<readonly RunSummary[]> {
  const { workload } = options;
  const policies = options.policyNames.map(parsePolicy);
  const runs: RunSummary[] = [];
  for (const caseName of options.caseNames) {
    const workloadCase = workload.cases[caseName];
    if (workloadCase === undefined) {
      const known = Object.keys(workload.cases).join(', ');
      throw new UnknownChoiceError(`Unknown case "${caseName}"; known cases: ${known}.`);
    }
    for (const seed of options.seeds) {
      const arrivals = drawArrivals(workload, workloadCase, seed);
      for (const policy of policies) {
        const result = await runExperiment({ workload, workloadCase, arrivals, policy, seed });
        runs.push(summarizeRun(workload, caseName, seed, result));
      }
    }
  }
  return runs;
}
