import { Command, Option } from 'clipanion';
import { OperatorCommand } from './OperatorCommand.js';
import { exitCodes } from './exitCodes.js';

/** `camphorbarrow config show`. */
export class ConfigShowCommand extends OperatorCommand {
  static override paths = [['config', 'show']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show the current configuration of an entry host.',
    details: `
      Prints the version, the last change, the exceptions and the fleet defaults. With \`--json\` the
      whole document is printed, with its history.

      Exit codes: 0 ok, 1 the host did not respond or has no configuration, 2 bad input.
    `,
    examples: [
      ['Show the configuration', '$0 config show --host http://127.0.0.1:9080 --key-file key.txt'],
      ['Keep a copy', '$0 config show --json --host http://127.0.0.1:9080 > copy.json'],
    ],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the document as JSON' });

  protected override async run(): Promise<number> {
    const document = await this.withClient((client) => client.show());
    if (document === undefined) {
      this.printError('The entry host has no configuration.');
      return exitCodes.failure;
    }
    if (this.json) {
      this.print(JSON.stringify(document, undefined, 2));
      return exitCodes.ok;
    }
    const { version, changeId, history, exceptions, defaults } = document;
    const last = history.at(-1);
    this.print(`version ${version}, change ${changeId}`);
    if (last !== undefined) {
      this.print(`made by ${last.author} at ${last.changedAt}: ${last.summary}`);
    }
    this.print(`exceptions: ${exceptions.length}`);
    exceptions.forEach(({ id, author, reason, scope, set, expiresAt }) => {
      const until = expiresAt === undefined ? '' : `, until ${expiresAt}`;
      this.print(`  ${id} (${author}${until}): ${reason}`);
      this.print(`    scope ${JSON.stringify(scope)} set ${JSON.stringify(set)}`);
    });
    this.print('defaults:');
    this.print(JSON.stringify(defaults, undefined, 2));
    return exitCodes.ok;
  }
}
