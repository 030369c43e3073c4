import { writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import type { BurnReport, BurnRow } from '@camphorbarrow/core';
import { renderBurnPage } from '../report/renderBurnPage.js';
import { OperatorCommand } from './OperatorCommand.js';
import { exitCodes } from './exitCodes.js';
import { toTable } from './toTable.js';

function causeOf({ causes }: BurnRow): string {
  const [first] = causes;
  return first === undefined ? '-' : `${first.result} (${first.requests})`;
}

function toRow(row: BurnRow): readonly string[] {
  return [
    row.regionId,
    row.serviceClass,
    `${row.objectiveRatio * 100}%`,
    ...row.windows.map(({ burnRate }) => burnRate.toFixed(2)),
    row.alarm,
    causeOf(row),
    row.exceptions.map(({ id }) => id).join(', ') || '-',
  ];
}

/** `camphorbarrow report burn`. */
export class ReportBurnCommand extends OperatorCommand {
  static override paths = [['report', 'burn']];

  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show how fast each class of service uses up its error budget.',
    details: `
      A burn rate of 1 uses up the budget exactly. The alarm is "fast" when the last 5 minutes and
      the last hour burn at 14.4 or more, and "slow" when the last 30 minutes and 6 hours burn at 6
      or more. The report says which entry hosts are missing from it.

      Exit codes: 0 ok, 1 the host did not respond, 2 bad input.
    `,
    examples: [
      ['On the terminal', '$0 report burn --host http://127.0.0.1:9080 --key-file key.txt'],
      ['As one page', '$0 report burn --html burn.html --host http://127.0.0.1:9080'],
    ],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the report as JSON' });

  readonly html = Option.String('--html', { description: 'Write the report as an HTML page' });

  protected override async run(): Promise<number> {
    const report = await this.withClient((client) => client.burnReport());
    if (this.html !== undefined) {
      await writeFile(this.html, renderBurnPage(report));
    }
    if (this.json) {
      this.print(JSON.stringify(report, undefined, 2));
    } else {
      this.printTable(report);
    }
    return exitCodes.ok;
  }

  private printTable({ rows, missing, hosts, createdAt }: BurnReport): void {
    this.print(`${createdAt}, ${hosts.length} entry hosts`);
    const windows = rows[0]?.windows.map(({ minutes }) => `${minutes} MIN`) ?? [];
    const heading = ['REGION', 'CLASS', 'GOAL', ...windows, 'ALARM', 'MAIN CAUSE', 'EXCEPTIONS'];
    toTable([heading, ...rows.map(toRow)]).forEach((line) => this.print(line));
    missing.forEach((line) => this.print(`missing: ${line}`));
  }
}
