import { Command, Option } from 'clipanion';
import { hostSettingsSchema, parseJsonc } from '@camphorbarrow/core';
import { createEntryHost } from '../entryHost/createEntryHost.js';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { readInputFile } from './readInputFile.js';

/** `camphorbarrow serve --config FILE`. */
export class ServeCommand extends BaseCommand {
  static override paths = [['serve']];

  static override usage = Command.Usage({
    description: 'Run an entry host.',
    details: `
      Runs until SIGTERM or SIGINT, which start a graceful shutdown.

      Exit codes: 0 after a graceful shutdown, 1 failure, 2 bad settings.
    `,
    examples: [['Run an entry host', '$0 serve --config host.jsonc']],
  });

  readonly config = Option.String('--config', {
    required: true,
    description: 'Settings file, JSON with comments',
  });

  protected override async run(): Promise<number> {
    const settings = parseJsonc(this.config, await readInputFile(this.config), hostSettingsSchema);
    const host = await createEntryHost(settings);
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await host.close();
    return exitCodes.ok;
  }
}
