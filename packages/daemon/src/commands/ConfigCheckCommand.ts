import { Command, Option } from 'clipanion';
import { parseJsonc } from '@camphorbarrow/core';
import { BaseCommand } from './BaseCommand.js';
import { CommandInputError } from './CommandInputError.js';
import { detectFileKind } from './detectFileKind.js';
import { exitCodes } from './exitCodes.js';
import { fileKinds } from './fileKinds.js';
import { readInputFile } from './readInputFile.js';

/** `camphorbarrow config check FILE`. */
export class ConfigCheckCommand extends BaseCommand {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Check a file without using it.',
    details: `
      Checks fleet defaults, exceptions, host settings, or a document printed by
      \`config show --json\`. The kind is detected from the content unless \`--kind\` names it. Every
      problem is printed with file, line, column, field, value, unit and what is allowed.

      Exit codes: 0 the file is valid, 2 it is not.
    `,
    examples: [
      ['Check fleet defaults', '$0 config check defaults.jsonc'],
      ['Check the settings of a host', '$0 config check --kind settings host.jsonc'],
    ],
  });

  readonly file = Option.String({ required: true, name: 'FILE' });

  readonly kind = Option.String('--kind', {
    description: `Kind of the file: ${Object.keys(fileKinds).join(', ')}`,
  });

  private readKind(text: string): keyof typeof fileKinds {
    const { kind } = this;
    if (kind === undefined) {
      return detectFileKind(this.file, text);
    }
    if (!Object.hasOwn(fileKinds, kind)) {
      throw new CommandInputError(
        `--kind ${kind}: must be one of ${Object.keys(fileKinds).join(', ')}`,
      );
    }
    return kind as keyof typeof fileKinds;
  }

  protected override async run(): Promise<number> {
    const text = await readInputFile(this.file);
    const { title, schema } = fileKinds[this.readKind(text)];
    parseJsonc(this.file, text, schema);
    this.print(`${this.file}: valid ${title}`);
    return exitCodes.ok;
  }
}
