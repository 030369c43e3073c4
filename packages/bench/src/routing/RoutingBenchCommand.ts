import { readFile } from 'node:fs/promises';
import { parseJsonc } from '@camphorbarrow/core';
import { Command, Option } from 'clipanion';
import { UnknownChoiceError } from '../errors/UnknownChoiceError.js';
import type { RunSummary } from '../report/RunSummary.js';
import { admissionChoices } from '../policies/admissionChoices.js';
import { formatTable } from '../report/formatTable.js';
import { summarizeRun } from '../report/summarizeRun.js';
import { drawArrivals } from '../workload/drawArrivals.js';
import { workloadSchema } from '../workload/workloadSchema.js';
import type { RoutingPolicy } from './RoutingPolicy.js';
import { routeFactories, spillPolicies } from './routingChoices.js';
import { runRoutingExperiment } from './runRoutingExperiment.js';

function parsePolicy(name: string): RoutingPolicy {
  const [route = '', spill = '', admission = 'all'] = name.split('/');
  if (
    !Object.hasOwn(routeFactories, route) ||
    !Object.hasOwn(spillPolicies, spill) ||
    !Object.hasOwn(admissionChoices, admission)
  ) {
    const routes = Object.keys(routeFactories).join(', ');
    const spills = Object.keys(spillPolicies).join(', ');
    throw new UnknownChoiceError(
      `Unknown policy "${name}"; routes: ${routes}; spill policies: ${spills}.`,
    );
  }
  return { name, route, spill, admission };
}

/** `main.ts --workload FILE --policy ROUTE/SPILL[/ADMISSION][,...] --seed N[,N...] --case NAME[,NAME...]`. */
export class RoutingBenchCommand extends Command {
  static override paths = [Command.Default];

  readonly workload = Option.String('--workload', { required: true });

  readonly policy = Option.String('--policy', { required: true });

  readonly seed = Option.String('--seed', { required: true });

  readonly caseName = Option.String('--case', 'ordinary-peak');

  override async execute(): Promise<number> {
    const workload = parseJsonc(
      this.workload,
      await readFile(this.workload, 'utf8'),
      workloadSchema,
    );
    const runs: RunSummary[] = [];
    for (const caseName of this.caseName.split(',')) {
      const workloadCase = workload.cases[caseName];
      if (workloadCase === undefined) {
        throw new UnknownChoiceError(`Unknown case "${caseName}".`);
      }
      for (const seed of this.seed.split(',').map(Number)) {
        const arrivals = drawArrivals(workload, workloadCase, seed);
        for (const policy of this.policy.split(',').map(parsePolicy)) {
          const run = await runRoutingExperiment({
            workload,
            workloadCase,
            arrivals,
            policy,
            seed,
          });
          runs.push(summarizeRun(workload, caseName, seed, run));
        }
      }
    }
    this.context.stdout.write(`${formatTable(runs)}\n`);
    return 0;
  }
}
