import test from 'ava';
import { asId, createSystemClock } from '@camphorbarrow/core';
import { createPrefixCacheTracker, runCacheFollower } from '../../src/index.js';
import type { FleetView, ServerState } from '../../src/index.js';
import { buildServer, buildService } from '../support/builders.js';
import { silentLog } from '../support/silentSinks.js';

// Calls for cache events went to an engine until its entry was removed from the store.
test('no cache calls go to an engine that may not be called', async (t) => {
  const clock = createSystemClock();
  const stop = new AbortController();
  const engines = [buildServer(), buildServer({ id: asId('server-2') })];
  const service = buildService();
  const called: ServerState[] = [];
  const following = runCacheFollower({
    clock,
    log: silentLog,
    ownId: asId('host-1'),
    region: asId('north'),
    regionHosts: () => [asId('host-1')],
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
    mayCall: (server) => server !== engines[0],
    signal: stop.signal,
  });
  await clock.sleep(200);
  stop.abort();
  await following;
  t.deepEqual(called, [engines[1]]);
});
