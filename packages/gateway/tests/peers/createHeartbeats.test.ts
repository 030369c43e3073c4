import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { asId, createSystemClock } from '@camphorbarrow/core';
import type { LogSink } from '@camphorbarrow/core';
import { createHeartbeatEncoder, createHeartbeats, createPeerRegistry } from '../../src/index.js';
import type { Endpoint, HostRegistration, PeerHeartbeat } from '../../src/index.js';
import { blockEventLoop } from '../support/blockEventLoop.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };

const hostAt = (id: string, peers: Endpoint): HostRegistration => ({
  id: asId(id),
  region: asId('north'),
  zone: asId('north-a'),
  callers: { host: '127.0.0.1', port: 1 },
  peers,
});

const buildHeartbeat = (host: HostRegistration, sentAtMs: number): Omit<PeerHeartbeat, 'echo'> => ({
  host,
  incarnation: 'x',
  sentAtMs,
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
    buildHeartbeat: () => buildHeartbeat(own, 0),
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

// The other regions seemed to be as far away as the pause was long, so that no request went there.
test('a pause of this host is no part of the round-trip time to its peers', async (t) => {
  const peer = await startReceiver();
  const { socket, endpoint } = await startReceiver();
  socket.close();
  const clock = createSystemClock();
  const own = hostAt('own', endpoint);
  const other = hostAt('other', peer.endpoint);
  const peers = createPeerRegistry(clock, silentLog, asId('north'));
  const heartbeats = createHeartbeats({
    clock,
    log: silentLog,
    own,
    peers,
    registeredHosts: () => [],
    seeds: () => [],
    buildHeartbeat: () => buildHeartbeat(own, clock.monotonicMs()),
    ownPartEvidence: () => ({ crashes: [], served: [] }),
    onHeartbeat: peers.recordHeartbeat,
    intervalMs: 20,
  });
  t.teardown(() => {
    heartbeats.close();
    peer.socket.close();
  });
  const reply = (): Promise<void> =>
    new Promise((resolve) => {
      const nowMs = clock.monotonicMs();
      const encode = createHeartbeatEncoder(buildHeartbeat(other, nowMs));
      const datagram = encode({ sentAtMs: nowMs, heldMs: 0 });
      peer.socket.send(datagram, endpoint.port, endpoint.host, () => resolve());
    });
  const roundTripMs = () => peers.known()[0]?.roundTripMs ?? Infinity;
  while (roundTripMs() === Infinity) {
    await reply();
    await sleep(20);
  }
  const before = peers.known()[0]?.heartbeat.sentAtMs ?? 0;
  for (let count = 0; count < 100; count += 1) {
    await reply();
  }
  blockEventLoop(2_000);
  while ((peers.known()[0]?.heartbeat.sentAtMs ?? 0) <= before) {
    await sleep(20);
  }
  await sleep(100);
  t.true(roundTripMs() < 200, String(roundTripMs()));
});

// The first send bound the socket to another port, on which the host heard nobody for its lifetime.
test('a host whose peer port is in use sends nothing until it has the port', async (t) => {
  const receiver = await startReceiver();
  const { socket: holder, endpoint } = await startReceiver();
  const clock = createSystemClock();
  const own = hostAt('own', endpoint);
  const sources: number[] = [];
  receiver.socket.on('message', (_, { port }) => sources.push(port));
  const start = () =>
    createHeartbeats({
      clock,
      log: silentLog,
      own,
      peers: createPeerRegistry(clock, silentLog, asId('north')),
      registeredHosts: () => [hostAt('other', receiver.endpoint)],
      seeds: () => [],
      buildHeartbeat: () => buildHeartbeat(own, 0),
      ownPartEvidence: () => ({ crashes: [], served: [] }),
      onHeartbeat: () => undefined,
      intervalMs: 10,
    });
  const stopped = start();
  stopped.sendToAll();
  stopped.close();
  const heartbeats = start();
  t.teardown(() => {
    heartbeats.close();
    receiver.socket.close();
  });
  heartbeats.sendToAll();
  await heartbeats.send(Buffer.from('x'), receiver.endpoint);
  await sleep(300);
  t.deepEqual(sources, []);
  t.false(heartbeats.isBound());
  holder.close();
  await once(receiver.socket, 'message');
  t.deepEqual([...new Set(sources)], [endpoint.port]);
  t.true(heartbeats.isBound());
  t.false(stopped.isBound(), 'closed while it waited');
});
