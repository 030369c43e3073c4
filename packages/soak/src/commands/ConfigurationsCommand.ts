import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { cascade, isInteger, isNumber } from 'typanion';
import { buildCommit } from '../buildCommit.js';
import { runConfigurations } from '../configurations/runConfigurations.js';
import { readRunArguments } from '../starts/readRunArguments.js';
import type { StartCommand } from '../starts/spawnStart.js';

const integer = cascade(isNumber(), isInteger());

/** Writes odd configurations and kills hosts right after. */
export class ConfigurationsCommand extends Command {
  static override readonly paths = [['configurations']];

  static override readonly usage = Command.Usage({
    description: 'Writes odd configurations, kills hosts right after, and slows the store',
  });

  readonly seed = Option.String('--seed', '1', { description: 'First seed', validator: integer });

  readonly seeds = Option.String('--seeds', '1', {
    description: 'Number of seeds, counted up from the first',
    validator: integer,
  });

  readonly steps = Option.String('--steps', '4', {
    description: 'Number of entries that the operator writes',
    validator: integer,
  });

  readonly logs = Option.String('--logs', { description: 'Directory for output of failed seeds' });

  readonly program = Option.String('--program', 'target/entry-host.cjs', {
    description: 'Built program of the hosts',
  });

  readonly beside = Option.String('--beside', {
    description: 'Commit whose build each second host runs; only the others are checked',
  });

  override async execute(): Promise<number> {
    const commandOf = (program: string): StartCommand => ({
      nodePath: process.execPath,
      nodeArguments: [...readRunArguments(), program],
    });
    const otherCommand =
      this.beside === undefined ? undefined : commandOf(await buildCommit(this.beside));
    let failedCount = 0;
    for (let { seed } = this; seed < this.seed + this.seeds; seed += 1) {
      const { problems, output } = await runConfigurations({
        seed,
        steps: this.steps,
        command: commandOf(this.program),
        otherCommand,
      });
      failedCount += problems.length === 0 ? 0 : 1;
      this.context.stdout.write(`seed ${seed}: ${problems.length} problems\n`);
      problems.forEach((problem) => this.context.stdout.write(`  ${problem}\n`));
      if (this.logs !== undefined && problems.length > 0) {
        await mkdir(this.logs, { recursive: true });
        await writeFile(path.join(this.logs, `configurations-${seed}.log`), output);
      }
    }
    return failedCount === 0 ? 0 : 1;
  }
}
