import { Command } from 'clipanion';
import { OperatorCommand } from './OperatorCommand.js';
import { exitCodes } from './exitCodes.js';
import { toTable } from './toTable.js';

/** `camphorbarrow config history`. */
export class ConfigHistoryCommand extends OperatorCommand {
  static override paths = [['config', 'history']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'List the latest changes of the configuration, newest first.',
    details: `
      The document keeps the last 100 changes.

      Exit codes: 0 ok, 1 the host did not respond or has no configuration, 2 bad input.
    `,
    examples: [
      ['List changes', '$0 config history --host http://127.0.0.1:9080 --key-file key.txt'],
    ],
  });

  protected override async run(): Promise<number> {
    const document = await this.withClient((client) => client.show());
    if (document === undefined) {
      this.printError('The entry host has no configuration.');
      return exitCodes.failure;
    }
    const rows = [...document.history]
      .reverse()
      .map((entry) => [
        String(entry.version),
        entry.changedAt,
        entry.author,
        entry.changeId,
        entry.summary,
      ]);
    toTable([['VERSION', 'TIME', 'AUTHOR', 'CHANGE', 'SUMMARY'], ...rows]).forEach((line) =>
      this.print(line),
    );
    return exitCodes.ok;
  }
}
