import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber } from 'typanion';
import { readRunArguments } from '../starts/readRunArguments.js';
import { runStarts } from '../starts/runStarts.js';

const integer = cascade(isNumber(), isInteger());

/** Starts hosts again and again while something that they need is missing. */
export class StartsCommand extends Command {
  static override readonly paths = [['starts']];

  static override readonly usage = Command.Usage({
    description: 'Starts host processes whose settings, ports or first moments are disturbed',
  });

  readonly seed = Option.String('--seed', '1', { description: 'Seed', validator: integer });

  readonly count = Option.String('--count', '100', {
    description: 'Number of starts',
    validator: integer,
  });

  readonly parallel = Option.String('--parallel', '6', {
    description: 'Number of hosts that are started at a time',
    validator: integer,
  });

  readonly logs = Option.String('--logs', {
    description: 'Directory for the output of hosts that failed',
  });

  readonly node = Option.String('--node', process.execPath, {
    description: 'Node.js program that runs the hosts',
  });

  readonly program = Option.String('--program', 'target/entry-host.cjs', {
    description: 'Built program of the host',
  });

  override async execute(): Promise<number> {
    const results = await runStarts({
      seed: this.seed,
      count: this.count,
      parallel: this.parallel,
      command: { nodePath: this.node, nodeArguments: [...readRunArguments(), this.program] },
    });
    const failed = results.filter(({ problem }) => problem !== undefined);
    for (const { index, problem, startCase, output } of failed) {
      this.context.stdout.write(`  ${index}: ${problem ?? ''} ${JSON.stringify(startCase)}\n`);
      if (this.logs !== undefined) {
        await mkdir(this.logs, { recursive: true });
        await writeFile(path.join(this.logs, `start-${this.seed}-${index}.log`), output);
      }
    }
    const sum = (key: 'processes' | 'endsBeforeProgram'): number =>
      results.reduce((total, result) => total + result[key], 0);
    this.context.stdout.write(
      `seed ${this.seed}: ${results.length} starts, ${sum('processes')} processes, ` +
        `${sum('endsBeforeProgram')} ended by a signal before Node.js had read the program, ` +
        `${failed.length} failed\n`,
    );
    return failed.length === 0 ? 0 : 1;
  }
}
