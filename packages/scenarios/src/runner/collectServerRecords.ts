import type { ServerRecord } from '@camphorbarrow/standins';
import type { HistoryEvent } from '../history/HistoryEvent.js';
import type { DeployedProcess, Deployment } from '../launcher/Deployment.js';

function toEvent({ name: server, region }: DeployedProcess, record: ServerRecord): HistoryEvent {
  const { atMs, kind } = record;
  switch (kind) {
    case 'arrived':
      return { kind, atMs, call: record.call, server, region, path: record.path?.split(',') };
    case 'executed':
      return { kind, atMs, call: record.call, server, region };
    case 'started':
    case 'leaving':
      return { kind, atMs, server };
  }
}

/** Reads the logs of the backend servers and converts them to history events. */
export async function collectServerRecords(deployment: Deployment): Promise<HistoryEvent[]> {
  const servers = [...deployment.processes.values()].filter(
    ({ kind }) => kind === 'engine' || kind === 'ordering',
  );
  const events = await Promise.all(
    servers.map(async (server) => {
      const records = await deployment.recordsOf(server.name);
      return records.map((record) => toEvent(server, record));
    }),
  );
  return events.flat();
}
