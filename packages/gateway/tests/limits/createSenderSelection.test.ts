import test from 'ava';
import { asId, createManualClock, createSeededRandom } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import {
  createSenderSelection,
  REMOVED_SENDER_RETENTION_MS,
  SENDER_SETTLE_MS,
} from '../../src/index.js';

const HOST_COUNT = 30;
const SERVER_COUNT = 8;
const SENDERS = 3;
const STEP_MS = 50;
/** Time within which all hosts learn of a change in the simulation. */
const MAX_DELAY_MS = 1_400;

const hostIds = Array.from({ length: HOST_COUNT }, (_, index) => asId<HostId>(`host-${index}`));
const serverIds = Array.from({ length: SERVER_COUNT }, (_, index) => `server-${index}`);

// Two hosts at one place send a burst each, and many hosts that change places together flood a server.
for (const seed of [1, 2, 3]) {
  test(`no two hosts take one place while their views differ, seed ${seed}`, (t) => {
    const random = createSeededRandom(seed);
    const clock = createManualClock();
    const delaysMs = hostIds.map(() => Math.floor(random.next() * MAX_DELAY_MS));
    /** Registered hosts after each change, the latest last. */
    const history = [{ atMs: -Infinity, hosts: new Set(hostIds.slice(0, HOST_COUNT / 2)) }];
    const seenBy = (host: number): readonly HostId[] => {
      const untilMs = clock.monotonicMs() - (delaysMs[host] ?? 0);
      return [...(history.filter(({ atMs }) => atMs <= untilMs).at(-1)?.hosts ?? [])];
    };
    const selections = hostIds.map((ownId, index) =>
      createSenderSelection({ clock, ownId, regionHosts: () => seenBy(index) }),
    );
    const countSenders = (serverId: string): number =>
      selections.filter((selection) => selection.select(serverId, SENDERS).isSender).length;

    for (let atMs = 0; atMs < 40_000; atMs += STEP_MS) {
      // Several hosts come or go in the same moment.
      if (atMs % 600 === 0 && atMs < 30_000) {
        const hosts = new Set(history.at(-1)?.hosts);
        hostIds.forEach((id) => {
          if (random.next() < 0.15 && !hosts.delete(id)) {
            hosts.add(id);
          }
        });
        history.push({ atMs, hosts });
      }
      const counts = serverIds.map(countSenders);
      t.true(
        counts.every((count) => count <= SENDERS),
        `${counts.join(' ')} at ${atMs} ms`,
      );
      clock.advance(STEP_MS);
    }
    t.deepEqual(
      serverIds.map(countSenders),
      serverIds.map(() => SENDERS),
    );
  });
}

test('a host that is not registered is no sender, and one that is alone need not wait', (t) => {
  const clock = createManualClock();
  const [ownId, otherId] = hostIds as [HostId, HostId];
  let hosts: readonly HostId[] = [otherId];
  const selection = createSenderSelection({ clock, ownId, regionHosts: () => hosts });
  clock.advance(2 * SENDER_SETTLE_MS);
  t.false(selection.select('server', SENDERS).isSender);

  hosts = [];
  selection.observe();
  clock.advance(REMOVED_SENDER_RETENTION_MS);
  hosts = [ownId];
  t.true(selection.select('server', SENDERS).isSender);
});

// Hosts register again within seconds after an outage of the store in which their leases expired.
test('a registration that expires and returns changes no senders', (t) => {
  const clock = createManualClock();
  const [ownId] = hostIds as [HostId];
  let hosts: readonly HostId[] = hostIds;
  const selection = createSenderSelection({ clock, ownId, regionHosts: () => hosts });
  const senders = (): readonly boolean[] =>
    serverIds.map((id) => selection.select(id, SENDERS).isSender);
  selection.observe();
  clock.advance(SENDER_SETTLE_MS);
  const before = senders();
  t.true(before.includes(true));
  hosts = [];
  t.deepEqual(senders(), before);
  clock.advance(REMOVED_SENDER_RETENTION_MS - SENDER_SETTLE_MS - 1);
  t.deepEqual(senders(), before);
  hosts = hostIds;
  t.deepEqual(senders(), before);
});
