import test from 'ava';
import type { StoredFleetDocument } from '../../src/config/FleetDocument.js';
import { CONFIGURATION_KEY } from '../../src/config/configurationKey.js';
import { ConfigStoreUnavailableError } from '../../src/errors/ConfigStoreUnavailableError.js';
import { InvalidChangeError } from '../../src/errors/InvalidChangeError.js';
import { UnreadableConfigurationError } from '../../src/errors/UnreadableConfigurationError.js';
import { addition, change, createFleetAt, defaults, hostAt, storedIn } from './changes.js';
import type { FakeFleet } from './createFakeFleet.js';
import { createFakeFleet } from './createFakeFleet.js';

test('an accepted change is in force at all peers and names those not reached', async (t) => {
  const fleet = createFakeFleet(4);
  fleet.cutOff.add(3);
  const result = await hostAt(fleet, 0).propose(change('c1'));
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

test('a change based on an older version is rejected with the change it lost against', async (t) => {
  // Guards against one operator silently undoing the change of another.
  const fleet = await createFleetAt(1, 2);
  await hostAt(fleet, 0).propose({ ...change('x', defaults(4), 1), author: 'rui' });
  const result = await hostAt(fleet, 1).propose(change('y', defaults(5), 1));
  t.deepEqual(result, {
    outcome: 'lost',
    against: { version: 2, changeId: 'x', author: 'rui' },
  });
  t.is(storedIn(fleet).defaults.retry.maxAttempts, 4);
});

test('of two changes made at the same time on one version, one is accepted', async (t) => {
  const fleet = await createFleetAt(1, 2);
  const results = await Promise.all([
    hostAt(fleet, 0).propose(change('x', defaults(4), 1)),
    hostAt(fleet, 1).propose(change('y', defaults(5), 1)),
  ]);
  t.deepEqual(results.map(({ outcome }) => outcome).sort(), ['accepted', 'lost']);
  t.is(storedIn(fleet).version, 2);
});

test('exceptions added at the same time without a base version are all kept', async (t) => {
  const fleet = await createFleetAt(1, 3);
  const results = await Promise.all(
    [0, 1, 2].map((index) =>
      hostAt(fleet, index).propose(change(`e${index}`, addition(`peak-${index}`))),
    ),
  );
  t.true(results.every(({ outcome }) => outcome === 'accepted'));
  t.deepEqual(
    storedIn(fleet)
      .exceptions.map(({ id }) => id)
      .sort(),
    ['peak-0', 'peak-1', 'peak-2'],
  );
});

test('a change based on a version this host does not know is refused', async (t) => {
  // Guards against a host behind the others writing over changes it has not seen.
  const fleet = await createFleetAt(1, 1);
  await t.throwsAsync(hostAt(fleet, 0).propose(change('x', defaults(4), 7)), {
    instanceOf: InvalidChangeError,
  });
});

test('a lost answer to a write that took effect is resolved to accepted', async (t) => {
  const fleet = await createFleetAt(1, 2);
  fleet.store.lostAnswers = 1;
  const result = await hostAt(fleet, 0).propose(change('x'));
  t.like(result, { outcome: 'accepted', revision: { version: 2 } });
  t.is(fleet.store.writes, 2);
});

test('a write whose answer never comes is reported as unknown and can be asked again', async (t) => {
  const fleet = await createFleetAt(1, 2);
  const proposal = hostAt(fleet, 0).propose(change('x'));
  fleet.store.lostAnswers = 1;
  while (fleet.store.writes < 2) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  fleet.store.unavailable = true;
  t.deepEqual(await proposal, { outcome: 'unknown', changeId: 'x' });
  fleet.store.unavailable = false;
  const again = await hostAt(fleet, 1).propose(change('x'));
  t.like(again, { outcome: 'accepted', revision: { version: 2, changeId: 'x' } });
  t.is(fleet.store.writes, 2);
});

test('a change proposed twice under one id takes effect once', async (t) => {
  const fleet = await createFleetAt(1, 2);
  await hostAt(fleet, 0).propose(change('x'));
  await hostAt(fleet, 0).propose(change('y'));
  const again = await hostAt(fleet, 1).propose(change('x'));
  t.like(again, { outcome: 'accepted', revision: { version: 2, changeId: 'x' } });
  t.is(storedIn(fleet).version, 3);
});

test('a written change that a newer document replaces meanwhile is reported as lost', async (t) => {
  // Guards against success for a change that never comes into force, after the store lost data.
  const other = await createFleetAt(3, 1);
  const newer = hostAt(other, 0).document() as StoredFleetDocument;
  const fleet: FakeFleet = createFakeFleet(1, async (label) => {
    if (label === 'write answer') {
      hostAt(fleet, 0).adopt(newer);
    }
  });
  const result = await hostAt(fleet, 0).propose(change('x'));
  t.deepEqual(result, {
    outcome: 'lost',
    against: { version: 3, changeId: 'c3', author: 'ana' },
  });
});

test('without the store a change is refused and nothing is in force', async (t) => {
  const fleet = await createFleetAt(1, 2);
  fleet.store.unavailable = true;
  await t.throwsAsync(hostAt(fleet, 0).propose(change('x')), {
    instanceOf: ConfigStoreUnavailableError,
  });
  t.is(hostAt(fleet, 0).version(), 1);
});

test('a store restored with old data gets the newer document back', async (t) => {
  const fleet = await createFleetAt(1, 2);
  fleet.store.snapshot();
  await hostAt(fleet, 0).propose(change('x'));
  await hostAt(fleet, 1).poll();
  fleet.store.restore();
  t.is(storedIn(fleet).version, 1);
  await hostAt(fleet, 1).poll();
  t.is(storedIn(fleet).version, 2);
  t.is(hostAt(fleet, 1).version(), 2);
});

test('a host that learns of a newer document from a peer writes it back to the store', async (t) => {
  // Guards against polls that look only for a new revision of the store.
  const fleet = await createFleetAt(1, 2);
  fleet.store.snapshot();
  await hostAt(fleet, 1).poll();
  fleet.cutOff.add(1);
  await hostAt(fleet, 0).propose(change('x'));
  fleet.cutOff.delete(1);
  fleet.store.restore();
  await hostAt(fleet, 1).poll();
  await fleet.deliver(0, 1);
  await hostAt(fleet, 1).poll();
  t.is(storedIn(fleet).version, 2);
});

test('a store that lost all data gets the document back', async (t) => {
  const fleet = createFakeFleet(1);
  fleet.store.snapshot();
  await hostAt(fleet, 0).propose(change('x'));
  fleet.store.restore();
  await hostAt(fleet, 0).poll();
  t.is(storedIn(fleet).version, 1);
});

test('a change on a restored store builds on the newer document of the host', async (t) => {
  const fleet = await createFleetAt(2, 1);
  fleet.store.snapshot();
  await hostAt(fleet, 0).propose(change('x', addition('peak')));
  fleet.store.restore();
  const result = await hostAt(fleet, 0).propose(change('y', addition('other')));
  t.like(result, { outcome: 'accepted', revision: { version: 4 } });
  t.is(storedIn(fleet).exceptions.length, 2);
});

test('a change on a restored store builds on the newer document of a peer', async (t) => {
  // Guards against a host that missed a change reusing its version number.
  const fleet = await createFleetAt(1, 2);
  fleet.store.snapshot();
  fleet.cutOff.add(1);
  await hostAt(fleet, 0).propose(change('x', addition('peak')));
  fleet.store.restore();
  fleet.cutOff.delete(1);
  const result = await hostAt(fleet, 1).propose(change('y', addition('other')));
  t.like(result, { outcome: 'accepted', revision: { version: 3 } });
  t.is(storedIn(fleet).exceptions.length, 2);
});

test('a host fresh from a stale peer takes over what a newer peer has', async (t) => {
  const fleet = await createFleetAt(1, 1);
  const wider = createFakeFleet(3);
  const stale = hostAt(fleet, 0).document() as StoredFleetDocument;
  await hostAt(fleet, 0).propose(change('x'));
  hostAt(wider, 0).adopt(stale);
  hostAt(wider, 1).adopt(hostAt(fleet, 0).document() as StoredFleetDocument);
  wider.store.unavailable = true;
  const fresh = hostAt(wider, 2);
  await fresh.poll();
  await wider.deliver(0, 2);
  t.is(fresh.version(), 1);
  await wider.deliver(1, 2);
  t.is(fresh.version(), 2);
  await wider.deliver(0, 2);
  t.is(fresh.version(), 2);
});

test('of two documents with one version, every host keeps the one with the higher change id', async (t) => {
  const fleet = createFakeFleet(2);
  const [a, b] = await Promise.all(
    ['a', 'b'].map(async (id) => {
      const other = createFakeFleet(1);
      await hostAt(other, 0).propose(change(id));
      return hostAt(other, 0).document() as StoredFleetDocument;
    }),
  );
  hostAt(fleet, 0).adopt(a as StoredFleetDocument);
  hostAt(fleet, 1).adopt(b as StoredFleetDocument);
  await fleet.deliver(0, 1);
  await fleet.deliver(1, 0);
  t.deepEqual(
    fleet.hosts.map((host) => host.revision().changeId),
    ['b', 'b'],
  );
  t.true(fleet.events.includes('configuration-diverged'));
});

test('a newer document that cannot be read is neither replaced nor written over', async (t) => {
  // Guards against old hosts undoing a newer program's document while the fleet is upgraded.
  const fleet = await createFleetAt(1, 1);
  const text = JSON.stringify({ version: 9, changeId: 'z', defaults: { newGroup: 1 } });
  const head = await fleet.store.get(CONFIGURATION_KEY);
  const expectedRevision = head?.modRevision ?? 0;
  await fleet.store.compareAndSwap({ key: CONFIGURATION_KEY, expectedRevision, value: text });
  await hostAt(fleet, 0).poll();
  await t.throwsAsync(hostAt(fleet, 0).propose(change('x')), {
    instanceOf: UnreadableConfigurationError,
  });
  t.is(fleet.store.value(CONFIGURATION_KEY), text);
});
