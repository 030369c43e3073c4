import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createOpenAiEngineClient } from '@camphorbarrow/adapters';
import type { Measurement } from './Measurement.js';
import { fitMeasurement } from './fitMeasurement.js';
import { measureCpuMicros } from './measureCpuMicros.js';
import { sampleLoadReport } from './sampleLoadReport.js';

const TIMEOUT_MS = 5_000;

/**
 * Measures load polls over HTTP on loopback. The responding server runs in this process too, so the
 * CPU time is that of both ends; the bytes are those of the TCP streams in both directions.
 */
export async function measureLoadPolls(sizes: readonly number[]): Promise<Measurement[]> {
  const server = createServer((_request, response) => {
    response.setHeader('content-type', 'application/json');
    response.end(sampleLoadReport);
  });
  const sockets: Socket[] = [];
  server.on('connection', (socket) => {
    sockets.push(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = createOpenAiEngineClient({ connectTimeoutMs: TIMEOUT_MS });
  let polls = 0;
  async function pollConcurrently(count: number): Promise<void> {
    polls += count;
    const baseUrl = `http://127.0.0.1:${port}`;
    await Promise.all(Array.from({ length: count }, () => client.readLoad(baseUrl, TIMEOUT_MS)));
  }
  const cpu = [];
  for (const size of sizes) {
    cpu.push({ size, value: await measureCpuMicros(() => pollConcurrently(size)) });
  }
  const bytes = sockets.reduce(
    (sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten,
    0,
  );
  await client.close();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  const sent = sizes.map((size) => ({ size, value: (bytes / polls) * size }));
  const subject = 'load polls over HTTP, both ends';
  return [
    fitMeasurement({ subject, unit: 'CPU us', per: 'poll', points: cpu }),
    fitMeasurement({ subject, unit: 'sent bytes', per: 'poll', points: sent }),
  ];
}
