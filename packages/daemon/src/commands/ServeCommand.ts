import { readFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import { hostSettingsSchema, parseJsonc } from '@camphorbarrow/core';
import { createEntryHost } from '../entryHost/createEntryHost.js';

/** `camphorbarrow serve --config FILE`. */
export class ServeCommand extends Command {
  static override paths = [['serve']];

  static override usage = Command.Usage({
    description: 'Run an entry host.',
    details: 'Runs until SIGTERM or SIGINT, which start a graceful shutdown.',
    examples: [['Run an entry host', 'camphorbarrow serve --config host.jsonc']],
  });

  readonly config = Option.String('--config', {
    required: true,
    description: 'Settings file, JSON with comments',
  });

  override async execute(): Promise<number> {
    const settings = parseJsonc(
      this.config,
      await readFile(this.config, 'utf8'),
      hostSettingsSchema,
    );
    const host = await createEntryHost(settings);
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    await host.close();
    return 0;
  }
}
