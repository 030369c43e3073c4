import { Cli } from 'clipanion';
import { CapacityCommand } from './CapacityCommand.js';

const cli = new Cli({ binaryName: 'capacity', binaryLabel: 'Control-plane cost measurement' });
cli.register(CapacityCommand);
process.exitCode = await cli.run(process.argv.slice(2));
