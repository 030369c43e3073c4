import test from 'ava';
import { createPeerTable } from '../../src/membership/createPeerTable.js';
import type { Heartbeat } from '../../src/membership/Heartbeat.js';
import type { PeerDescription } from '../../src/membership/PeerDescription.js';
import type { PeerClient } from '../../src/ports/PeerClient.js';
import { asId } from '../../src/ids/asId.js';
import { createSeededRandom } from '../../src/time/createSeededRandom.js';
import { createManualClock } from '../createManualClock.js';
import { createFakeStore } from '../support/createFakeStore.js';
import { silentLog } from '../support/silentLog.js';

const describe = (id: string): PeerDescription => ({
  hostId: asId(id),
  incarnation: asId(`${id}-1`),
  startedAtMs: 1,
  regionId: asId('norte'),
  availabilityZoneId: asId('norte-a'),
  callerUrl: 'http://127.0.0.1:8080',
  peerUrl: `http://127.0.0.1:9090/${id}`,
  state: 'live',
  sequence: 1,
  configVersion: 1,
  configChangeId: '',
});

const nested = (levels: number): string => `${'['.repeat(levels)}${']'.repeat(levels)}`;

const odd = (field: keyof PeerDescription, values: readonly unknown[]): string[] =>
  values.map((value) => JSON.stringify({ ...describe('odd'), [field]: value }));

const malformed = [
  ...['', 'text', 'null', '[]', '7', '{}', nested(4_000), nested(100_000)],
  ...odd('hostId', ['', 'a\n', '\u0000', '\u65e5', 'i'.repeat(201), 7, null]),
  ...odd('regionId', ['', 'a\n', '\u65e5', null]),
  ...['callerUrl', 'peerUrl'].flatMap((field) =>
    odd(field as keyof PeerDescription, [
      ...['http://127.0.0.1:70000', 'http://a b', 'http://999.1.1.1', 'ftp://127.0.0.1', '', null],
    ]),
  ),
  ...odd('startedAtMs', [-1, 1e300, '1', null]),
  ...odd('sequence', [-1, 0.5, 1e300, '1', null]),
  ...odd('configVersion', [-1, 0.5, 1e300, '1', null]),
];

// One such value ended the reading of the registrations, so that the hosts after it stayed unknown.
test('malformed registrations of peers are ignored, and the others hold', async (t) => {
  const clock = createManualClock();
  const store = createFakeStore(clock);
  const write = (key: string, value: string) =>
    store.compareAndSwap({ key, expectedRevision: 0, value });
  for (const [index, value] of malformed.entries()) {
    await write(`/hosts/norte/odd-${index}`, value);
  }
  await write('/hosts/norte/good', JSON.stringify(describe('good')));
  const peerClient = {
    heartbeat: async (_url: string, message: Heartbeat) => message,
  } as unknown as PeerClient;
  const ignored: unknown[] = [];
  const table = createPeerTable({
    clock,
    random: createSeededRandom(1),
    log: { ...silentLog, warn: (event, fields) => ignored.push([event, fields?.key]) },
    store,
    peerClient,
    self: () => describe('own'),
    seedPeerUrls: [],
    onPeerUpdate: () => undefined,
  });
  table.start();
  for (let turn = 0; turn < 50; turn += 1) {
    await Promise.resolve();
  }
  t.deepEqual(
    table.peers().map(({ hostId }) => hostId),
    [asId('good')],
  );
  t.deepEqual(
    ignored,
    malformed.map((_, index) => ['registration-ignored', `/hosts/norte/odd-${index}`]),
  );
  await table.close();
});
