import { Command, Option } from 'clipanion';
import type { FleetStatus, HostStatus } from '@camphorbarrow/adapters';
import { OperatorCommand } from './OperatorCommand.js';
import { exitCodes } from './exitCodes.js';
import { toTable } from './toTable.js';

const SHORT_CHANGE_ID = 8;

function toHostRow(host: HostStatus): readonly string[] {
  return [
    host.hostId,
    host.region,
    host.availabilityZone,
    host.reachable ? host.state : `${host.state}, unreachable`,
    String(host.configVersion),
    host.configChangeId.slice(0, SHORT_CHANGE_ID),
    host.peerUrl,
  ];
}

/** `camphorbarrow status`. */
export class StatusCommand extends OperatorCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Show the entry hosts and backend servers that an entry host knows.',
    details: `
      Lists every known entry host with its state and its current configuration version and change,
      as of its last heartbeat, and every backend server of that host's region.

      Exit codes: 0 ok, 1 the host did not respond, 2 bad input.
    `,
    examples: [
      ['Show the fleet', '$0 status --host http://127.0.0.1:9080 --key-file key.txt'],
      ['For programs', '$0 status --json --host http://127.0.0.1:9080'],
    ],
  });

  readonly json = Option.Boolean('--json', false, { description: 'Print the status as JSON' });

  protected override async run(): Promise<number> {
    const status = await this.withClient((client) => client.status());
    if (this.json) {
      this.print(JSON.stringify(status, undefined, 2));
    } else {
      this.printTables(status);
    }
    return exitCodes.ok;
  }

  private printTables({ self, peers, servers, storeReachable }: FleetStatus): void {
    this.print(`key-value service: ${storeReachable ? 'reachable' : 'not reachable'}`);
    this.print('');
    const heading = ['ENTRY HOST', 'REGION', 'ZONE', 'STATE', 'CONFIG', 'CHANGE', 'PEER URL'];
    toTable([heading, ...[self, ...peers].map(toHostRow)]).forEach((line) => this.print(line));
    this.print('');
    const rows = servers.map((server) => [
      server.serverId,
      server.kind,
      server.region,
      server.availabilityZone,
      server.accepting ? 'accepting' : 'not accepting',
      String(server.runningRequests ?? '-'),
      String(server.waitingRequests ?? '-'),
    ]);
    const titles = ['BACKEND SERVER', 'KIND', 'REGION', 'ZONE', 'STATE', 'RUNNING', 'WAITING'];
    toTable([titles, ...rows]).forEach((line) => this.print(line));
  }
}
