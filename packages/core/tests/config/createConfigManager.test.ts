import test from 'ava';
import type { StoredFleetDocument } from '../../src/config/FleetDocument.js';
import { CONFIGURATION_KEY } from '../../src/config/configurationKey.js';
import { ConfigStoreUnavailableError } from '../../src/errors/ConfigStoreUnavailableError.js';
import { InvalidChangeError } from '../../src/errors/InvalidChangeError.js';
import { UnreadableConfigurationError } from '../../src/errors/UnreadableConfigurationError.js';
import {
  addException,
  createChange,
  createFleetAt,
  hostAt,
  setDefaults,
  storedDocument,
} from './changes.js';
import type { FakeFleet } from './createFakeFleet.js';
import { createFakeFleet } from './createFakeFleet.js';

test('an accepted change is adopted by all reachable peers and the result lists the others', async (t) => {
  const fleet = createFakeFleet(4);
  fleet.isolated.add(3);
  const result = await hostAt(fleet, 0).propose(createChange('c1'));
  t.deepEqual(result, {
    outcome: 'accepted',
    revision: { version: 1, changeId: 'c1' },
    told: ['host-1', 'host-2'] as never,
    notReached: ['host-3'] as never,
  });
  t.deepEqual(
    fleet.hosts.map((host) => host.version()),
    [1, 1, 1, 0],
  );
});

test('a change based on an older version is rejected and the newer change is returned', async (t) => {
  // Guards against an operator's change silently reverting another operator's change.
  const fleet = await createFleetAt(1, 2);
  await hostAt(fleet, 0).propose({ ...createChange('x', setDefaults(4), 1), author: 'rui' });
  const result = await hostAt(fleet, 1).propose(createChange('y', setDefaults(5), 1));
  t.deepEqual(result, {
    outcome: 'lost',
    against: { version: 2, changeId: 'x', author: 'rui' },
  });
  t.is(storedDocument(fleet).defaults.retry.maxAttempts, 4);
});

test('of two concurrent changes based on the same version, one is accepted', async (t) => {
  const fleet = await createFleetAt(1, 2);
  const results = await Promise.all([
    hostAt(fleet, 0).propose(createChange('x', setDefaults(4), 1)),
    hostAt(fleet, 1).propose(createChange('y', setDefaults(5), 1)),
  ]);
  t.deepEqual(results.map(({ outcome }) => outcome).sort(), ['accepted', 'lost']);
  t.is(storedDocument(fleet).version, 2);
});

test('exceptions added concurrently without a base version are all kept', async (t) => {
  const fleet = await createFleetAt(1, 3);
  const results = await Promise.all(
    [0, 1, 2].map((index) =>
      hostAt(fleet, index).propose(createChange(`e${index}`, addException(`peak-${index}`))),
    ),
  );
  t.true(results.every(({ outcome }) => outcome === 'accepted'));
  t.deepEqual(
    storedDocument(fleet)
      .exceptions.map(({ id }) => id)
      .sort(),
    ['peak-0', 'peak-1', 'peak-2'],
  );
});

test('a change based on a version that this host does not know is rejected', async (t) => {
  // Guards against an outdated host overwriting changes that it has not received.
  const fleet = await createFleetAt(1, 1);
  await t.throwsAsync(hostAt(fleet, 0).propose(createChange('x', setDefaults(4), 7)), {
    instanceOf: InvalidChangeError,
  });
});

test('a write that took effect but whose response was lost is resolved to accepted', async (t) => {
  const fleet = await createFleetAt(1, 2);
  fleet.store.unansweredWrites = 1;
  const result = await hostAt(fleet, 0).propose(createChange('x'));
  t.like(result, { outcome: 'accepted', revision: { version: 2 } });
  t.is(fleet.store.writes, 2);
});

test('a write without a response is reported as unknown and can be proposed again', async (t) => {
  const fleet = await createFleetAt(1, 2);
  const proposal = hostAt(fleet, 0).propose(createChange('x'));
  fleet.store.unansweredWrites = 1;
  while (fleet.store.writes < 2) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  fleet.store.unavailable = true;
  t.deepEqual(await proposal, { outcome: 'unknown', changeId: 'x' });
  fleet.store.unavailable = false;
  const repeated = await hostAt(fleet, 1).propose(createChange('x'));
  t.like(repeated, { outcome: 'accepted', revision: { version: 2, changeId: 'x' } });
  t.is(fleet.store.writes, 2);
});

test('a change proposed twice with the same id is applied once', async (t) => {
  const fleet = await createFleetAt(1, 2);
  await hostAt(fleet, 0).propose(createChange('x'));
  await hostAt(fleet, 0).propose(createChange('y'));
  const repeated = await hostAt(fleet, 1).propose(createChange('x'));
  t.like(repeated, { outcome: 'accepted', revision: { version: 2, changeId: 'x' } });
  t.is(storedDocument(fleet).version, 3);
});

test('a written change that a newer document replaces in the meantime is reported as lost', async (t) => {
  // Guards against reporting success for a change that never became current, after the store lost
  // data.
  const other = await createFleetAt(3, 1);
  const newer = hostAt(other, 0).document() as StoredFleetDocument;
  const fleet: FakeFleet = createFakeFleet(1, async (label) => {
    if (label === 'write response') {
      hostAt(fleet, 0).adopt(newer);
    }
  });
  const result = await hostAt(fleet, 0).propose(createChange('x'));
  t.deepEqual(result, {
    outcome: 'lost',
    against: { version: 3, changeId: 'c3', author: 'ana' },
  });
});

test('a change is rejected and has no effect while the store is unavailable', async (t) => {
  const fleet = await createFleetAt(1, 2);
  fleet.store.unavailable = true;
  await t.throwsAsync(hostAt(fleet, 0).propose(createChange('x')), {
    instanceOf: ConfigStoreUnavailableError,
  });
  t.is(hostAt(fleet, 0).version(), 1);
});

test('a newer document is written back to a store restored from older data', async (t) => {
  const fleet = await createFleetAt(1, 2);
  fleet.store.snapshot();
  await hostAt(fleet, 0).propose(createChange('x'));
  await hostAt(fleet, 1).poll();
  fleet.store.restore();
  t.is(storedDocument(fleet).version, 1);
  await hostAt(fleet, 1).poll();
  t.is(storedDocument(fleet).version, 2);
  t.is(hostAt(fleet, 1).version(), 2);
});

test('a host that receives a newer document from a peer writes it back to the store', async (t) => {
  // Guards against polls that only check whether the revision of the store changed.
  const fleet = await createFleetAt(1, 2);
  fleet.store.snapshot();
  await hostAt(fleet, 1).poll();
  fleet.isolated.add(1);
  await hostAt(fleet, 0).propose(createChange('x'));
  fleet.isolated.delete(1);
  fleet.store.restore();
  await hostAt(fleet, 1).poll();
  await fleet.deliverHeartbeat(0, 1);
  await hostAt(fleet, 1).poll();
  t.is(storedDocument(fleet).version, 2);
});

test('the document is written back to a store that lost all data', async (t) => {
  const fleet = createFakeFleet(1);
  fleet.store.snapshot();
  await hostAt(fleet, 0).propose(createChange('x'));
  fleet.store.restore();
  await hostAt(fleet, 0).poll();
  t.is(storedDocument(fleet).version, 1);
});

test('a change to a restored store is applied to the newer document of the host', async (t) => {
  const fleet = await createFleetAt(2, 1);
  fleet.store.snapshot();
  await hostAt(fleet, 0).propose(createChange('x', addException('peak')));
  fleet.store.restore();
  const result = await hostAt(fleet, 0).propose(createChange('y', addException('other')));
  t.like(result, { outcome: 'accepted', revision: { version: 4 } });
  t.is(storedDocument(fleet).exceptions.length, 2);
});

test('a change to a restored store is applied to the newer document of a peer', async (t) => {
  // Guards against a host that missed a change reusing the version number of that change.
  const fleet = await createFleetAt(1, 2);
  fleet.store.snapshot();
  fleet.isolated.add(1);
  await hostAt(fleet, 0).propose(createChange('x', addException('peak')));
  fleet.store.restore();
  fleet.isolated.delete(1);
  const result = await hostAt(fleet, 1).propose(createChange('y', addException('other')));
  t.like(result, { outcome: 'accepted', revision: { version: 3 } });
  t.is(storedDocument(fleet).exceptions.length, 2);
});

test('a new host that fetched from an outdated peer adopts the newer document of another peer', async (t) => {
  const fleet = await createFleetAt(1, 1);
  const largerFleet = createFakeFleet(3);
  const stale = hostAt(fleet, 0).document() as StoredFleetDocument;
  await hostAt(fleet, 0).propose(createChange('x'));
  hostAt(largerFleet, 0).adopt(stale);
  hostAt(largerFleet, 1).adopt(hostAt(fleet, 0).document() as StoredFleetDocument);
  largerFleet.store.unavailable = true;
  const fresh = hostAt(largerFleet, 2);
  await fresh.poll();
  await largerFleet.deliverHeartbeat(0, 2);
  t.is(fresh.version(), 1);
  await largerFleet.deliverHeartbeat(1, 2);
  t.is(fresh.version(), 2);
  await largerFleet.deliverHeartbeat(0, 2);
  t.is(fresh.version(), 2);
});

test('of two documents with the same version, every host keeps the one with the higher change id', async (t) => {
  const fleet = createFakeFleet(2);
  const [a, b] = await Promise.all(
    ['a', 'b'].map(async (id) => {
      const other = createFakeFleet(1);
      await hostAt(other, 0).propose(createChange(id));
      return hostAt(other, 0).document() as StoredFleetDocument;
    }),
  );
  hostAt(fleet, 0).adopt(a as StoredFleetDocument);
  hostAt(fleet, 1).adopt(b as StoredFleetDocument);
  await fleet.deliverHeartbeat(0, 1);
  await fleet.deliverHeartbeat(1, 0);
  t.deepEqual(
    fleet.hosts.map((host) => host.revision().changeId),
    ['b', 'b'],
  );
  t.true(fleet.loggedEvents.includes('configuration-diverged'));
});

test('a newer document that cannot be parsed is neither replaced nor overwritten', async (t) => {
  // Guards against hosts with an older program version reverting a newer document during an
  // upgrade.
  const fleet = await createFleetAt(1, 1);
  const text = JSON.stringify({ version: 9, changeId: 'z', defaults: { newGroup: 1 } });
  const current = await fleet.store.get(CONFIGURATION_KEY);
  const expectedRevision = current?.modRevision ?? 0;
  await fleet.store.compareAndSwap({ key: CONFIGURATION_KEY, expectedRevision, value: text });
  await hostAt(fleet, 0).poll();
  await t.throwsAsync(hostAt(fleet, 0).propose(createChange('x')), {
    instanceOf: UnreadableConfigurationError,
  });
  t.is(fleet.store.value(CONFIGURATION_KEY), text);
});
