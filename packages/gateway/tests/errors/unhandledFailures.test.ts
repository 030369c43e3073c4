import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { Agent } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { asId, createManualClock, createSystemClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import test from 'ava';
import {
  createHeartbeats,
  createPeerRegistry,
  createPrefixCacheTracker,
  keepRunning,
  runCacheFollower,
  sendUpstream,
} from '../../src/index.js';
import type { FleetView, PeerHeartbeat } from '../../src/index.js';
import { buildServer, buildService } from '../support/builders.js';
import { silentLog } from '../support/silentSinks.js';

const fail = (): never => {
  throw new Error('unexpected');
};

// Each of these failures reached nobody and ended the process.

test('a task of the host that fails is logged and started again', async (t) => {
  const clock = createManualClock();
  const logged: unknown[] = [];
  const log = {
    ...silentLog,
    error: (event: string, fields?: object) => logged.push([event, fields]),
  };
  let runs = 0;
  const { signal } = new AbortController();
  const ended = keepRunning({ clock, log, task: 'reader', signal }, async () => {
    runs += 1;
    return runs < 3 ? fail() : undefined;
  });
  while (runs < 3) {
    await Promise.resolve();
    clock.advance(1_000);
  }
  await ended;
  t.deepEqual(logged, Array(2).fill(['task-failed', { task: 'reader' }]));
});

test('the follower of an engine that fails is started again', async (t) => {
  const stop = new AbortController();
  const engine = buildServer();
  const service = buildService();
  let calls = 0;
  await new Promise<void>((resolve) => {
    const following = runCacheFollower({
      clock: createSystemClock(),
      log: silentLog,
      ownId: asId('host-1'),
      region: asId('north'),
      regionHosts: () => [asId<HostId>('host-1')],
      view: {
        table: () => ({ services: new Map([[service.name, service]]) }),
        servers: { all: () => [engine], get: () => engine },
      } as unknown as FleetView,
      feed: { waitForUpdate: fail },
      prefixes: createPrefixCacheTracker(createSystemClock()),
      mayCall() {
        calls += 1;
        if (calls === 2) {
          resolve();
        }
        return fail();
      },
      signal: stop.signal,
    });
    t.teardown(() => {
      stop.abort();
      return following;
    });
  });
  t.is(calls, 2);
});

test('a datagram that cannot be handled is dropped', async (t) => {
  const probe = createSocket('udp4').bind(0, '127.0.0.1');
  await once(probe, 'listening');
  const { port } = probe.address();
  probe.close();
  await once(probe, 'close');
  const own = { id: asId<HostId>('own'), peers: { host: '127.0.0.1', port } };
  const clock = createSystemClock();
  let received = 0;
  const bothReceived = new Promise<void>((resolve) => {
    const heartbeats = createHeartbeats({
      clock,
      log: silentLog,
      own: { ...own, region: asId('north'), zone: asId('north-a'), callers: own.peers },
      peers: createPeerRegistry(clock, silentLog, asId('north')),
      registeredHosts: () => [],
      seeds: () => [],
      buildHeartbeat: () => ({}) as PeerHeartbeat,
      ownPartEvidence: () => ({ crashes: [], served: [] }),
      onHeartbeat: () => undefined,
      onDatagram() {
        received += 1;
        if (received === 2) {
          resolve();
        }
        return fail();
      },
      intervalMs: 10_000,
    });
    t.teardown(heartbeats.close);
  });
  const sender = createSocket('udp4');
  const timer = setInterval(() => sender.send('{}', port, '127.0.0.1'), 20);
  await bothReceived;
  clearInterval(timer);
  sender.close();
  t.true(received >= 2);
});

test('a request that cannot wait for its turn fails as not sent', async (t) => {
  const server = createServer((socket) => socket.on('error', () => undefined)).listen(
    0,
    '127.0.0.1',
  );
  await once(server, 'listening');
  t.teardown(() => server.close());
  const result = await sendUpstream({
    agent: new Agent(),
    endpoint: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    method: 'GET',
    path: '/',
    headers: ['Host', 'a.example'],
    body: Buffer.alloc(0),
    connectTimeoutMs: 2_000,
    responseTimeoutMs: undefined,
    beforeWrite: async () => fail(),
    signal: new AbortController().signal,
  });
  t.like(result, { kind: 'failed', mayHaveRun: false, cause: 'unexpected' });
});
