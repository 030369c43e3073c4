import { Builtins, Cli } from 'clipanion';
import type { Command } from 'clipanion';
import { ConfigCheckCommand } from './commands/ConfigCheckCommand.js';
import { ConfigHistoryCommand } from './commands/ConfigHistoryCommand.js';
import { ConfigSetCommand } from './commands/ConfigSetCommand.js';
import { ConfigShowCommand } from './commands/ConfigShowCommand.js';
import { ExplainChoiceCommand } from './commands/ExplainChoiceCommand.js';
import { ExplainCommand } from './commands/ExplainCommand.js';
import { ReportBurnCommand } from './commands/ReportBurnCommand.js';
import { ServeCommand } from './commands/ServeCommand.js';
import { StatusCommand } from './commands/StatusCommand.js';
import { exitCodes } from './commands/exitCodes.js';

const cli = new Cli({
  binaryName: 'camphorbarrow',
  binaryLabel: 'Multi-region inference gateway',
  binaryVersion: '0.1.0',
  // clipanion would color the output for pipes and files as well.
  enableColors: process.stdout.isTTY === true,
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(ConfigCheckCommand);
cli.register(ConfigHistoryCommand);
cli.register(ConfigSetCommand);
cli.register(ConfigShowCommand);
cli.register(ExplainChoiceCommand);
cli.register(ExplainCommand);
cli.register(ReportBurnCommand);
cli.register(ServeCommand);
cli.register(StatusCommand);

function parse(args: string[]): Command | undefined {
  try {
    return cli.process(args, Cli.defaultContext);
  } catch (error) {
    process.stderr.write(cli.error(error));
    return undefined;
  }
}

const command = parse(process.argv.slice(2));
if (command === undefined) {
  process.exitCode = exitCodes.badInput;
} else {
  void cli.runExit(command, Cli.defaultContext);
}
