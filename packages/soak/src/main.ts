import { Builtins, Cli } from 'clipanion';
import { ConfigurationsCommand } from './commands/ConfigurationsCommand.js';
import { SoakCommand } from './commands/SoakCommand.js';
import { SpansCommand } from './commands/SpansCommand.js';
import { StartsCommand } from './commands/StartsCommand.js';

const cli = new Cli({ binaryName: 'npm run soak --', binaryLabel: 'Fault soak' });
cli.register(Builtins.HelpCommand);
cli.register(ConfigurationsCommand);
cli.register(SoakCommand);
cli.register(SpansCommand);
cli.register(StartsCommand);

void cli.runExit(process.argv.slice(2));
