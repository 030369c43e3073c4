import { Option } from 'clipanion';
import { createOperatorClient } from '@camphorbarrow/adapters';
import type { OperatorClient } from '@camphorbarrow/adapters';
import { BaseCommand } from './BaseCommand.js';
import { CommandInputError } from './CommandInputError.js';
import { readInputFile } from './readInputFile.js';

const KEY_VARIABLE = 'CAMPHORBARROW_OPERATOR_KEY';
/** Longer than an entry host waits for a store that does not respond. */
const CALL_TIMEOUT_MS = 30_000;

/** Base of the commands that call an entry host with an operator's key. */
export abstract class OperatorCommand extends BaseCommand {
  readonly host = Option.String('--host', {
    required: true,
    description: 'Peer URL of any entry host, for example http://127.0.0.1:9080',
  });

  readonly keyFile = Option.String('--key-file', {
    description: `File with the operator key; without it, ${KEY_VARIABLE} is used`,
  });

  private async readKey(): Promise<string> {
    const text =
      this.keyFile === undefined ? process.env[KEY_VARIABLE] : await readInputFile(this.keyFile);
    const key = text?.trim() ?? '';
    if (!/^[\x21-\x7e]+$/.test(key)) {
      throw new CommandInputError(
        `The operator key is missing or invalid: specify a file with --key-file or set ${KEY_VARIABLE}.`,
      );
    }
    return key;
  }

  private readUrl(): string {
    const url = URL.canParse(this.host) ? new URL(this.host) : undefined;
    if (url === undefined || !['http:', 'https:'].includes(url.protocol) || url.pathname !== '/') {
      throw new CommandInputError(
        `--host ${this.host}: must be a URL such as http://127.0.0.1:9080`,
      );
    }
    return url.origin;
  }

  protected async withClient<Result>(
    use: (client: OperatorClient) => Promise<Result>,
  ): Promise<Result> {
    const url = this.readUrl();
    const key = await this.readKey();
    const client = createOperatorClient({ url, key, timeoutMs: CALL_TIMEOUT_MS });
    try {
      return await use(client);
    } finally {
      await client.close();
    }
  }
}
