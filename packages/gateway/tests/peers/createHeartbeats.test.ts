import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import test from 'ava';
import { asId, createSystemClock } from '@camphorbarrow/core';
import type { LogSink } from '@camphorbarrow/core';
import { createHeartbeats, createPeerRegistry } from '../../src/index.js';
import type { Endpoint, HostRegistration } from '../../src/index.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };

const hostAt = (id: string, peers: Endpoint): HostRegistration => ({
  id: asId(id),
  region: asId('north'),
  zone: asId('north-a'),
  callers: { host: '127.0.0.1', port: 1 },
  peers,
});

async function startReceiver() {
  const socket = createSocket('udp4').bind(0, '127.0.0.1');
  await once(socket, 'listening');
  return { socket, endpoint: { host: '127.0.0.1', port: socket.address().port } };
}

// The exception of a send ended the process, because it left the callback of a timer.
test('a host with an address that a socket does not accept does not stop heartbeats', async (t) => {
  const receiver = await startReceiver();
  const clock = createSystemClock();
  const own = hostAt('own', { host: '127.0.0.1', port: 0 });
  const odd = [
    { host: '127.0.0.1', port: 70_000 },
    { host: '127.0.0.1', port: 0 },
    { host: 7 as unknown as string, port: 80 },
  ];
  const heartbeats = createHeartbeats({
    clock,
    log: silentLog,
    own,
    peers: createPeerRegistry(clock, silentLog, asId('north')),
    registeredHosts: () =>
      [...odd, receiver.endpoint].map((endpoint, index) => hostAt(`host-${index}`, endpoint)),
    seeds: () => [],
    buildHeartbeat: () => ({
      host: own,
      incarnation: 'x',
      sentAtMs: 0,
      state: 'ready',
      storePosition: { era: 0, revision: 0 },
      configurationVersion: 0,
      loads: new Map(),
      paces: new Map(),
      capacity: new Map(),
      crashes: [],
      partEvidence: { crashes: [], served: [] },
      partTrials: [],
      serverLimits: [],
    }),
    ownPartEvidence: () => ({ crashes: [], served: [] }),
    onHeartbeat: () => undefined,
    intervalMs: 10,
  });
  await once(receiver.socket, 'message');
  await once(receiver.socket, 'message');
  heartbeats.close();
  t.notThrows(heartbeats.sendToAll, 'a crash is reported while the host stops');
  receiver.socket.close();
});
