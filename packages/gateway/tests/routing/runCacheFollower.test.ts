import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { asId, createSystemClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createPrefixCacheTracker, runCacheFollower } from '../../src/index.js';
import type { FleetView, ServerState } from '../../src/index.js';
import { buildServer, buildService } from '../support/builders.js';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { silentLog } from '../support/silentSinks.js';

function startFollower(
  t: ExecutionContext,
  engines: readonly ServerState[],
  mayCall: (server: ServerState) => boolean,
  regionHosts: () => readonly HostId[] = () => [asId('host-1')],
) {
  const clock = createSystemClock();
  const stop = new AbortController();
  const service = buildService();
  const called: ServerState[] = [];
  const following = runCacheFollower({
    clock,
    log: silentLog,
    ownId: asId('host-1'),
    region: asId('north'),
    regionHosts,
    view: {
      table: () => ({ services: new Map([[service.name, service]]) }),
      servers: {
        all: () => engines,
        get: (id: string) => engines.find(({ registration }) => registration.id === id),
      },
    } as unknown as FleetView,
    feed: {
      async waitForUpdate(server) {
        called.push(server);
        return { epoch: '1', next: 1, lost: false, changes: [] };
      },
    },
    prefixes: createPrefixCacheTracker(clock),
    mayCall,
    signal: stop.signal,
  });
  t.teardown(async () => {
    stop.abort();
    await following;
  });
  return called;
}

// Calls for cache events went to an engine until its entry was removed from the store.
test('no cache calls go to an engine that may not be called', async (t) => {
  const engines = [buildServer(), buildServer({ id: asId('server-2') })];
  const called = startFollower(t, engines, (server) => server !== engines[0]);
  await sleep(200);
  t.deepEqual(called, [engines[1]]);
});

// Hosts that had started together and knew few others went on to follow every engine, which rejected
// calls of up to 36 hosts with 429.
test('a host stops following an engine once enough other hosts follow it', async (t) => {
  const others = Array.from({ length: 64 }, (_, index) => asId<HostId>(`host-${index + 2}`));
  const engines = Array.from({ length: 30 }, (_, index) =>
    buildServer({ id: asId(`server-${index}`) }),
  );
  let hosts: readonly HostId[] = [asId('host-1')];
  const called = startFollower(
    t,
    engines,
    () => true,
    () => hosts,
  );
  await sleep(200);
  t.is(new Set(called).size, engines.length);
  hosts = [asId('host-1'), ...others];
  await sleep(700);
  called.length = 0;
  await sleep(1_500);
  const followed = new Set(called).size;
  t.true(followed < engines.length / 3, `${followed} engines`);
});

test.serial(
  'no cache call goes to an engine that has asked for a pause while the process stood still',
  async (t) => {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const [receiver] = (await once(server, 'connection')) as [Socket];
    t.teardown(() => {
      sender.destroy();
      receiver.destroy();
      server.close();
    });
    let isPaused = false;
    receiver.once('data', () => {
      isPaused = true;
    });
    const called = startFollower(t, [buildServer()], () => !isPaused);
    await sleep(100);
    t.is(called.length, 1);
    await nextTurn();
    sender.write('x');
    // The next call is due meanwhile.
    blockEventLoop(1_000);
    await sleep(100);
    t.is(called.length, 1);
  },
);
