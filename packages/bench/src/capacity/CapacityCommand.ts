import { Command, Option } from 'clipanion';
import { formatCapacity } from './formatCapacity.js';
import { runCapacity } from './runCapacity.js';

/** `npm run capacity -- [--json]`. */
export class CapacityCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Measures how the control-plane cost of one entry host grows with the fleet.',
    details: 'docs/CAPACITY.md derives the target size from these figures.',
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print JSON instead of a table' });

  override async execute(): Promise<number> {
    const measurements = await runCapacity();
    const text = this.json
      ? JSON.stringify(measurements, undefined, 2)
      : formatCapacity(measurements);
    this.context.stdout.write(`${text}\n`);
    return 0;
  }
}
