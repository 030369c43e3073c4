import { loadReportSchema } from '@camphorbarrow/adapters';
import { asId, createServerRegistry } from '@camphorbarrow/core';
import type { HostListEntry, Incarnation, ServerRegistry } from '@camphorbarrow/core';
import { createVirtualClock } from '../clock/createVirtualClock.js';
import { createNoLog } from '../fakes/createNoLog.js';
import type { Measurement } from './Measurement.js';
import { createSampleServer } from './createSampleServer.js';
import { fitMeasurement } from './fitMeasurement.js';
import { measureCpuMicros } from './measureCpuMicros.js';
import { measureRetainedBytes } from './measureRetainedBytes.js';
import { sampleLoadReport } from './sampleLoadReport.js';

async function createRegistry(servers: number): Promise<ServerRegistry> {
  const list = JSON.stringify(
    Array.from({ length: servers }, (_, index) => createSampleServer(index)),
  );
  const entries = JSON.parse(list) as HostListEntry[];
  const registry = createServerRegistry({
    clock: createVirtualClock(),
    log: createNoLog(),
    hostList: { read: async () => entries, close: async () => undefined },
    isUsed: () => true,
    async readLoad() {
      const report = loadReportSchema.parse(JSON.parse(sampleLoadReport));
      return { ...report, incarnation: asId<Incarnation>(report.incarnation) };
    },
  });
  await registry.refresh();
  return registry;
}

/** Measures the server registry. Load reports are parsed and applied without HTTP. */
export async function measureServers(sizes: readonly number[]): Promise<Measurement[]> {
  const polls = [];
  const views = [];
  const memory = [];
  for (const size of sizes) {
    const registry = await createRegistry(size);
    polls.push({ size, value: await measureCpuMicros(() => registry.refresh()) });
    views.push({ size, value: await measureCpuMicros(() => registry.servers()) });
    memory.push({ size, value: await measureRetainedBytes(() => createRegistry(size)) });
  }
  const reports = sizes.map((size) => ({ size, value: sampleLoadReport.length * size }));
  const per = 'server';
  return [
    fitMeasurement({ subject: 'load polls of all servers', unit: 'CPU us', per, points: polls }),
    fitMeasurement({ subject: 'load reports, bodies', unit: 'sent bytes', per, points: reports }),
    fitMeasurement({ subject: 'servers() call', unit: 'CPU us', per, points: views }),
    fitMeasurement({ subject: 'server registry', unit: 'memory bytes', per, points: memory }),
  ];
}
