import { readFile, writeFile } from 'node:fs/promises';
import { parseJsonc } from '@camphorbarrow/core';
import { Command, Option } from 'clipanion';
import { UnknownChoiceError } from '../errors/UnknownChoiceError.js';
import { runBench } from '../experiment/runBench.js';
import { formatTable } from '../report/formatTable.js';
import { renderPlot } from '../report/renderPlot.js';
import { workloadSchema } from '../workload/workloadSchema.js';

function parseSeeds(text: string): number[] {
  return text.split(',').map((part) => {
    if (!/^\d{1,9}$/.test(part)) {
      throw new UnknownChoiceError(`Invalid seed "${part}"; expected 1 to 9 digits.`);
    }
    return Number(part);
  });
}

/** `npm run bench -- --workload FILE --policy NAME[,NAME...] --seed N[,N...]`. */
export class BenchCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Compares policies on a workload in virtual time.',
    details: 'docs/bench.md describes policies and workload files.',
  });

  readonly workload = Option.String('--workload', {
    required: true,
    description: 'Workload file, JSON with comments',
  });

  readonly policy = Option.String('--policy', {
    required: true,
    description: 'Policies, separated by commas',
  });

  readonly seed = Option.String('--seed', {
    required: true,
    description: 'Seeds, separated by commas',
  });

  readonly caseName = Option.String('--case', {
    description: 'Cases of the workload, separated by commas, or "all"; the first one by default',
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON instead of a table' });

  readonly plot = Option.String('--plot', { description: 'SVG file to write the bar charts to' });

  override async execute(): Promise<number> {
    const workload = parseJsonc(
      this.workload,
      await readFile(this.workload, 'utf8'),
      workloadSchema,
    );
    const known = Object.keys(workload.cases);
    const first = known.slice(0, 1);
    const chosen = this.caseName === undefined ? first : this.caseName.split(',');
    const runs = await runBench({
      workload,
      caseNames: this.caseName === 'all' ? known : chosen,
      policyNames: this.policy.split(','),
      seeds: parseSeeds(this.seed),
    });
    this.context.stdout.write(
      `${this.json ? JSON.stringify(runs, undefined, 2) : formatTable(runs)}\n`,
    );
    if (this.plot !== undefined) {
      await writeFile(this.plot, renderPlot(runs));
    }
    return 0;
  }
}
