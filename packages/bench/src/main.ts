import { Builtins, Cli } from 'clipanion';
import { BenchCommand } from './commands/BenchCommand.js';

const cli = new Cli({ binaryName: 'bench', binaryLabel: 'Policy experiments' });
cli.register(Builtins.HelpCommand);
cli.register(BenchCommand);
process.exitCode = await cli.run(process.argv.slice(2));
