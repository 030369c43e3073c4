import { randomInt } from 'node:crypto';
import { SettingsError } from '@camphorbarrow/core';
import { Command, Option } from 'clipanion';
import { isNumber } from 'typanion';
import { runScenario } from '../runner/runScenario.js';

const MAX_SEED = 2 ** 31;
const MS_PER_SECOND = 1_000;
const EXIT_FAILURE = 1;
const EXIT_BAD_INPUT = 2;

/** `npm run scenario -- FILE... [--seed N] [--json]`. */
export class RunScenariosCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Run scenario files against a deployment of real processes.',
    details: 'Exits with 0 when all pass, 1 when one fails and 2 when a file is invalid.',
    examples: [['Repeat a run', 'npm run scenario -- FILE --seed 7']],
  });

  readonly files = Option.Rest({ required: 1, name: 'FILE' });

  readonly seed = Option.String('--seed', {
    description: 'Seed of all random choices; a random one when absent',
    validator: isNumber(),
  });

  readonly json = Option.Boolean('--json', false, {
    description: 'Print one JSON line per scenario instead of progress',
  });

  override async execute(): Promise<number> {
    // Clipanion exits with code 1 for every error that `execute` throws.
    try {
      return await this.runFiles();
    } catch (error) {
      if (error instanceof SettingsError) {
        this.context.stderr.write(`${error.message}\n`);
        return EXIT_BAD_INPUT;
      }
      throw error;
    }
  }

  private async runFiles(): Promise<number> {
    const seed = this.seed ?? randomInt(MAX_SEED);
    const print = (line: string): void => {
      this.context.stdout.write(`${line}\n`);
    };
    const progress = this.json ? (): void => undefined : print;
    let failed = 0;
    for (const file of this.files) {
      progress(`${file}, seed ${seed}`);
      const report = await runScenario(file, { seed, onProgress: progress });
      failed += report.passed ? 0 : 1;
      if (this.json) {
        print(JSON.stringify(report));
      } else {
        const seconds = (report.durationMs / MS_PER_SECOND).toFixed(1);
        const { historyFile } = report;
        print(
          `${report.passed ? 'passed' : 'FAILED'} in ${seconds} s${historyFile === undefined ? '' : `, history in ${historyFile}`}`,
        );
      }
    }
    return failed > 0 ? EXIT_FAILURE : 0;
  }
}
