import { Builtins, Cli } from 'clipanion';
import { RunScenariosCommand } from './RunScenariosCommand.js';

const cli = new Cli({ binaryName: 'npm run scenario --', binaryLabel: 'Scenario runner' });
cli.register(Builtins.HelpCommand);
cli.register(RunScenariosCommand);

void cli.runExit(process.argv.slice(2));
