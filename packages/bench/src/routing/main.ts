import { Cli } from 'clipanion';
import { RoutingBenchCommand } from './RoutingBenchCommand.js';

const cli = new Cli({ binaryName: 'routing-bench', binaryLabel: 'Routing experiments' });
cli.register(RoutingBenchCommand);
process.exitCode = await cli.run(process.argv.slice(2));
