import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { createServerRegistry } from '../../src/membership/createServerRegistry.js';
import type { HostListEntry } from '../../src/ports/HostList.js';
import type { LoadReport } from '../../src/ports/LoadReport.js';
import { asId } from '../../src/ids/asId.js';
import { createSystemClock } from '../../src/time/createSystemClock.js';

const entry: HostListEntry = {
  serverId: asId('e1'),
  kind: 'engine',
  baseUrl: 'http://127.0.0.1:1',
  regionId: asId('norte'),
  availabilityZoneId: asId('norte-a'),
  models: ['m'],
  state: 'live',
};
const load: LoadReport = {
  incarnation: asId('i1'),
  state: 'live',
  runningRequests: 0,
  waitingRequests: 0,
  waitingTokens: 0,
  maxConcurrentRequests: 1,
  kvCacheUsageRatio: 0,
};

test('a host list that does not respond delays no load poll, so a leaving server is still detected', async (t) => {
  let listReads = 0;
  let state: LoadReport['state'] = 'live';
  const stalledRead = new AbortController();
  const registry = createServerRegistry({
    clock: createSystemClock(),
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    hostList: {
      async read() {
        listReads += 1;
        if (listReads > 1) {
          await delay(60_000, undefined, { signal: stalledRead.signal });
        }
        return [entry];
      },
      close: async () => undefined,
    },
    isUsed: () => true,
    readLoad: async () => ({ ...load, state }),
    pollIntervalMs: 20,
  });
  t.teardown(async () => {
    stalledRead.abort();
    await registry.close();
  });
  registry.start();
  await delay(200);
  t.true(registry.get(entry.serverId)?.accepting);
  state = 'leaving';
  await delay(200);
  t.false(registry.get(entry.serverId)?.accepting);
});

test('servers count as known only after the first read of the host list, even if it fails', async (t) => {
  let answerRead: (error?: Error) => void = () => undefined;
  const registry = createServerRegistry({
    clock: createSystemClock(),
    log: { info: () => undefined, warn: () => undefined, error: () => undefined },
    hostList: {
      read: () =>
        new Promise((resolve, reject) => {
          answerRead = (error) => (error === undefined ? resolve([entry]) : reject(error));
        }),
      close: async () => undefined,
    },
    isUsed: () => true,
    readLoad: async () => load,
    pollIntervalMs: 20,
  });
  registry.start();
  await delay(50);
  t.false(registry.hasReadList());
  answerRead(new TypeError('The host list does not respond.'));
  await delay(10);
  t.true(registry.hasReadList());
  const closed = registry.close();
  answerRead();
  await closed;
});
