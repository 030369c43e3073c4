import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Command, Option } from 'clipanion';
import { cascade, isArray, isEnum, isInteger, isNumber } from 'typanion';
import { buildCommit } from '../buildCommit.js';
import { faultGroups } from '../planFaults.js';
import { runSoak } from '../runSoak.js';

const MS_PER_S = 1_000;

/** Runs the soak test for one seed after another. */
export class SoakCommand extends Command {
  static override readonly paths = [Command.Default];

  static override readonly usage = Command.Usage({
    description:
      'Runs host processes under random faults and checks what callers and servers observe',
  });

  readonly seed = Option.String('--seed', '1', {
    description: 'First seed',
    validator: cascade(isNumber(), isInteger()),
  });

  readonly seeds = Option.String('--seeds', '1', {
    description: 'Number of consecutive seeds',
    validator: cascade(isNumber(), isInteger()),
  });

  readonly seconds = Option.String('--seconds', '20', {
    description: 'Seconds of fault injection for each seed',
    validator: isNumber(),
  });

  readonly logs = Option.String('--logs', {
    description: 'Directory for the host logs of failed seeds',
  });

  readonly node = Option.String('--node', process.execPath, {
    description: 'Node.js program that runs the hosts',
  });

  readonly from = Option.String('--from', {
    description: 'Commit whose build the hosts run at first, before they are replaced in turn',
  });

  readonly program = Option.String('--program', {
    description: 'Built program of another version, which the hosts run',
  });

  readonly only = Option.Array('--only', [], {
    description: 'Group of faults that the run is limited to; may be repeated',
    validator: isArray(isEnum(faultGroups)),
  });

  override async execute(): Promise<number> {
    const previousProgram = this.from === undefined ? undefined : await buildCommit(this.from);
    let failed = 0;
    for (let { seed } = this; seed < this.seed + this.seeds; seed += 1) {
      const report = await runSoak({
        seed,
        durationMs: this.seconds * MS_PER_S,
        nodePath: this.node,
        ...(previousProgram === undefined ? {} : { previousProgram }),
        ...(this.program === undefined ? {} : { program: this.program }),
        ...(this.only.length === 0 ? {} : { groups: this.only }),
      });
      const { faults, calls, served, afterIdle, falls, streams, violations } = report;
      const returns = streams.flat().filter(({ resumes }) => resumes !== undefined);
      const resumed = returns.filter(({ events }) => events.length > 0);
      this.context.stdout.write(
        `seed ${seed}: ${faults.length} faults, ${served} of ${calls} calls served, ` +
          `${afterIdle} after idle time, ${falls} falls, ${streams.length} streams, ${resumed.length} of ${returns.length} returns went on, ` +
          `${violations.length} violations\n`,
      );
      violations.forEach(({ promise, detail }) =>
        this.context.stdout.write(`  ${promise}: ${detail}\n`),
      );
      if (violations.length > 0) {
        failed += 1;
        if (this.logs !== undefined) {
          await mkdir(this.logs, { recursive: true });
          await writeFile(
            path.join(this.logs, `seed-${seed}.log`),
            [
              ...[faults, violations, streams].map((value) => JSON.stringify(value)),
              ...report.logs,
            ].join('\n'),
          );
        }
      }
    }
    return failed === 0 ? 0 : 1;
  }
}
