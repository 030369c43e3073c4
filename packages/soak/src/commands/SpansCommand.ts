import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { checkSpans } from '../checkSpans.js';

/** Checks the streams in logs of hosts. */
export class SpansCommand extends Command {
  static override readonly paths = [['spans']];

  static override readonly usage = Command.Usage({
    description: 'Checks the streams in the logs of all hosts of a run, without a run of its own',
  });

  readonly files = Option.Rest({ required: 1 });

  override async execute(): Promise<number> {
    const logs = await Promise.all(this.files.map((file) => readFile(file, 'utf8')));
    const violations = checkSpans(logs);
    violations.forEach(({ detail }) => this.context.stdout.write(`${detail}\n`));
    this.context.stdout.write(`${violations.length} violations in ${logs.length} logs\n`);
    return violations.length === 0 ? 0 : 1;
  }
}
