import { Command, Option } from 'clipanion';
import { explainRequest } from '../report/explainRequest.js';
import { BaseCommand } from './BaseCommand.js';
import { exitCodes } from './exitCodes.js';
import { readInputFile } from './readInputFile.js';

/** `camphorbarrow explain ID FILE...`. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Reports',
    description: 'Explain how a request ended, from logs.',
    details: `
      Collects the lines of a request from the logs of all hosts, and those about the servers that it
      was sent to, prints them in order of time and explains how the request ended.

      Exit codes: 0 the request was found, 1 no line names it, 2 a file cannot be read.
    `,
    examples: [['Explain a request', '$0 explain 20a62ee7eb735078 host-1.log host-2.log']],
  });

  readonly requestId = Option.String({ required: true, name: 'ID' });

  readonly files = Option.Rest({ required: 1, name: 'FILE' });

  protected override async run(): Promise<number> {
    const logs = await Promise.all(this.files.map(async (name) => readInputFile(name)));
    const { lines, conclusion } = explainRequest(this.requestId, logs);
    if (conclusion === undefined) {
      this.printError(`No line names the request ${this.requestId}.`);
      return exitCodes.failure;
    }
    lines.forEach((line) => this.print(line));
    this.print(conclusion);
    return exitCodes.ok;
  }
}
