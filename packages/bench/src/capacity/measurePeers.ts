import { heartbeatSchema } from '@camphorbarrow/adapters';
import { createPeerTable, createSeededRandom } from '@camphorbarrow/core';
import type { Heartbeat, KeyValueStore, PeerClient, PeerTable } from '@camphorbarrow/core';
import { createVirtualClock } from '../clock/createVirtualClock.js';
import { createNoLog } from '../fakes/createNoLog.js';
import type { Measurement } from './Measurement.js';
import { createSamplePeer } from './createSamplePeer.js';
import { fitMeasurement } from './fitMeasurement.js';
import { measureCpuMicros } from './measureCpuMicros.js';
import { measureRetainedBytes } from './measureRetainedBytes.js';

/** Heartbeats that the peer table sends in one round: `HEARTBEAT_FANOUT` in createPeerTable.ts. */
const FANOUT = 8;

function createTable(
  peers: number,
  ownIndex: number,
  heartbeat: PeerClient['heartbeat'],
): PeerTable {
  const table = createPeerTable({
    clock: createVirtualClock(),
    random: createSeededRandom(1),
    log: createNoLog(),
    // Not used: without `start`, the table makes neither registrations nor other peer calls.
    store: {} as KeyValueStore,
    peerClient: { heartbeat } as PeerClient,
    self: () => createSamplePeer(ownIndex),
    seedPeerUrls: [],
    onPeerUpdate: () => undefined,
  });
  const known = Array.from({ length: peers }, (_, index) => createSamplePeer(index));
  const [sender = createSamplePeer(0)] = known;
  table.receive(JSON.parse(JSON.stringify({ sender, known })) as Heartbeat);
  return table;
}

/** Measures the peer table and one heartbeat exchange, both ends in this process, without HTTP. */
export async function measurePeers(sizes: readonly number[]): Promise<Measurement[]> {
  const cpu = [];
  const sent = [];
  const view = [];
  const memory = [];
  for (const size of sizes) {
    let bytes = 0;
    const remote = createTable(size, size + 1, () =>
      Promise.reject(new Error('Unexpected heartbeat.')),
    );
    const table = createTable(size, size, async (_url, message) => {
      const request = JSON.stringify(message);
      const reply = remote.receive(heartbeatSchema.parse(JSON.parse(request)));
      const response = JSON.stringify({ result: { data: reply } });
      bytes = request.length + response.length;
      const { result } = JSON.parse(response) as { result: { data: unknown } };
      return heartbeatSchema.parse(result.data);
    });
    const round = await measureCpuMicros(() => table.announce());
    cpu.push({ size, value: round / FANOUT });
    sent.push({ size, value: bytes });
    view.push({ size, value: await measureCpuMicros(() => table.peers()) });
    memory.push({
      size,
      value: await measureRetainedBytes(() =>
        createTable(size, size, () => Promise.reject(new Error('Unexpected heartbeat.'))),
      ),
    });
  }
  return [
    fitMeasurement({ subject: 'heartbeat exchange', unit: 'CPU us', per: 'peer', points: cpu }),
    fitMeasurement({
      subject: 'heartbeat exchange',
      unit: 'sent bytes',
      per: 'peer',
      points: sent,
    }),
    fitMeasurement({ subject: 'peers() call', unit: 'CPU us', per: 'peer', points: view }),
    fitMeasurement({ subject: 'peer table', unit: 'memory bytes', per: 'peer', points: memory }),
  ];
}
