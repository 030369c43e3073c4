import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import type { ChangeResponse, ChangeRequest, OperatorClient } from '@camphorbarrow/adapters';
import {
  OperatorCallError,
  exceptionInputSchema,
  exceptionsFileSchema,
  fleetDefaultsSchema,
  parseJsonc,
} from '@camphorbarrow/core';
import type { ConfigOperation } from '@camphorbarrow/core';
import { CommandInputError } from './CommandInputError.js';
import { OperatorCommand } from './OperatorCommand.js';
import { exitCodes } from './exitCodes.js';
import { readInputFile } from './readInputFile.js';

/** Codes of changes that were refused because of their input. */
const BAD_INPUT_CODES = new Set(['invalid-change', 'document-too-large']);

/** `camphorbarrow config set`. */
export class ConfigSetCommand extends OperatorCommand {
  static override paths = [['config', 'set']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Change the fleet defaults or the exceptions.',
    details: `
      Exactly one of \`--defaults\`, \`--exceptions\`, \`--add-exception\` and \`--remove-exception\` is
      needed. With \`--base-version\` the change is rejected when the current version is newer than the
      one it was prepared against.

      An unknown outcome means that the key-value service or the entry host did not say whether the
      change was made. Run the same command again with the printed \`--change-id\` to find out; this
      makes the change if it was not made, and it never takes effect twice.

      Exit codes: 0 accepted, 1 failure and nothing changed, 2 bad input, 3 rejected because another
      change was made before, 4 outcome unknown.
    `,
    examples: [
      [
        'Replace the fleet defaults by ones that were prepared against version 12',
        '$0 config set --defaults defaults.jsonc --base-version 12 --reason "New model" --host http://127.0.0.1:9080 --key-file key.txt',
      ],
      [
        'Add one exception',
        '$0 config set --add-exception peak.jsonc --reason "Lunchtime peak" --host http://127.0.0.1:9080',
      ],
      [
        'Remove one exception',
        '$0 config set --remove-exception peak --reason "Peak is over" --host http://127.0.0.1:9080',
      ],
    ],
  });

  readonly defaults = Option.String('--defaults', {
    description: 'File with the fleet defaults that replace all current ones',
  });

  readonly exceptions = Option.String('--exceptions', {
    description: 'File with the list of exceptions that replaces the current one',
  });

  readonly addException = Option.String('--add-exception', {
    description: 'File with one exception to add',
  });

  readonly removeException = Option.String('--remove-exception', {
    description: 'Id of the exception to remove',
  });

  readonly reason = Option.String('--reason', {
    required: true,
    description: 'Why the change is made, 3 to 500 characters; kept in the history',
  });

  readonly baseVersion = Option.String('--base-version', {
    description: 'Version the change was prepared against',
  });

  readonly changeId = Option.String('--change-id', {
    description: 'Id of the change; repeat the printed one after an unknown outcome',
  });

  private async readOperation(): Promise<ConfigOperation> {
    const { defaults, exceptions, addException, removeException } = this;
    const given = [defaults, exceptions, addException, removeException];
    if (given.filter((option) => option !== undefined).length !== 1) {
      throw new CommandInputError(
        'Exactly one of --defaults, --exceptions, --add-exception and --remove-exception is needed.',
      );
    }
    if (defaults !== undefined) {
      const text = await readInputFile(defaults);
      return { kind: 'set-defaults', defaults: parseJsonc(defaults, text, fleetDefaultsSchema) };
    }
    if (exceptions !== undefined) {
      const text = await readInputFile(exceptions);
      const list = parseJsonc(exceptions, text, exceptionsFileSchema);
      return { kind: 'set-exceptions', exceptions: list };
    }
    if (addException !== undefined) {
      const text = await readInputFile(addException);
      const exception = parseJsonc(addException, text, exceptionInputSchema);
      return { kind: 'add-exception', exception };
    }
    return { kind: 'remove-exception', exceptionId: removeException ?? '' };
  }

  private readBaseVersion(): number | undefined {
    const { baseVersion } = this;
    if (baseVersion !== undefined && !/^\d{1,15}$/.test(baseVersion)) {
      throw new CommandInputError(`--base-version ${baseVersion}: must be a whole number`);
    }
    return baseVersion === undefined ? undefined : Number(baseVersion);
  }

  private readReason(): string {
    const reason = this.reason.trim();
    if (reason.length < 3 || reason.length > 500) {
      throw new CommandInputError('--reason: must have 3 to 500 characters');
    }
    return reason;
  }

  private readChangeId(): string {
    const changeId = this.changeId ?? randomUUID();
    if (!/^[A-Za-z0-9-]{8,64}$/.test(changeId)) {
      throw new CommandInputError('--change-id: must be 8 to 64 letters, digits or dashes');
    }
    return changeId;
  }

  protected override async run(): Promise<number> {
    const basedOnVersion = this.readBaseVersion();
    const change: ChangeRequest = {
      changeId: this.readChangeId(),
      reason: this.readReason(),
      ...(basedOnVersion === undefined ? {} : { basedOnVersion }),
      operation: await this.readOperation(),
    };
    return this.report(await this.withClient((client) => this.propose(client, change)), change);
  }

  private async propose(client: OperatorClient, change: ChangeRequest): Promise<ChangeResponse> {
    try {
      return await client.propose(change);
    } catch (error) {
      if (error instanceof OperatorCallError && error.mayHaveRun) {
        this.printError(error.message);
        return { outcome: 'unknown', changeId: change.changeId };
      }
      throw error;
    }
  }

  private report(response: ChangeResponse, change: ChangeRequest): number {
    switch (response.outcome) {
      case 'accepted': {
        const { revision, told, notReached } = response;
        this.print(`Accepted as version ${revision.version} (change ${revision.changeId}).`);
        this.print(`Notified ${told.length} other entry hosts.`);
        if (notReached.length > 0) {
          this.print(`Not reached, will receive it later: ${notReached.join(', ')}`);
        }
        return exitCodes.ok;
      }
      case 'lost': {
        const { version, changeId, author = 'an unknown author' } = response.against;
        const { basedOnVersion } = change;
        const base =
          basedOnVersion === undefined
            ? ''
            : ` This change was based on version ${basedOnVersion}.`;
        this.printError(
          `Rejected: version ${version} by ${author} (change ${changeId}) is current.${base} ` +
            'Look at it with "config show", adapt the change and try again.',
        );
        return exitCodes.changeRejected;
      }
      case 'unknown':
        this.printError(
          'It is unknown whether the change was made. Run the command again with ' +
            `--change-id ${response.changeId} to find out; it never takes effect twice.`,
        );
        return exitCodes.outcomeUnknown;
      case 'refused':
        this.printError(`Not changed (${response.code}): ${response.message}`);
        return BAD_INPUT_CODES.has(response.code) ? exitCodes.badInput : exitCodes.failure;
    }
  }
}
