import { Builtins, Cli } from 'clipanion';
import { SettingsError } from '@camphorbarrow/core';
import { ServeCommand } from './commands/ServeCommand.js';

const EXIT_FAILURE = 1;
const EXIT_BAD_INPUT = 2;

const cli = new Cli({
  binaryName: 'camphorbarrow',
  binaryLabel: 'Multi-region inference gateway',
  binaryVersion: '0.1.0',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(ServeCommand);

cli
  .run(process.argv.slice(2))
  .then((exitCode) => {
    process.exitCode = exitCode;
  })
  .catch((error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = error instanceof SettingsError ? EXIT_BAD_INPUT : EXIT_FAILURE;
  });
