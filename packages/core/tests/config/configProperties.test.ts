import test from 'ava';
import fc from 'fast-check';
import type { ConfigChangeResult } from '../../src/config/ConfigChangeResult.js';
import type { ConfigRevision } from '../../src/config/ConfigRevision.js';
import { compareRevisions } from '../../src/config/compareRevisions.js';
import { CONFIGURATION_KEY } from '../../src/config/configurationKey.js';
import { containsChange } from '../../src/config/containsChange.js';
import type { ConfigManager } from '../../src/config/createConfigManager.js';
import { exceptionInputSchema } from '../../src/config/exceptionInputSchema.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { parseStoredDocument } from '../../src/config/parseStoredDocument.js';
import type { FakeFleet } from './createFakeFleet.js';
import { createFakeFleet } from './createFakeFleet.js';

const HOSTS = 3;
const NUM_RUNS = 1_000;

/**
 * Kind of proposed change: an added exception, replaced defaults, or replaced defaults based on the
 * host's current version.
 */
type Mode = 'add' | 'replace' | 'based';

/**
 * `cut` isolates a host from its peers until `join`. `deliver` delivers a heartbeat. `lose` loses
 * the response of the next write to the store.
 */
type Action =
  | { readonly kind: 'propose'; readonly host: number; readonly mode: Mode }
  | { readonly kind: 'poll' | 'cut' | 'join'; readonly host: number }
  | { readonly kind: 'deliver'; readonly from: number; readonly to: number }
  | { readonly kind: 'lose' | 'snapshot' | 'restore' | 'outage' | 'recovery' };

const host = fc.nat(HOSTS - 1);
const actionsWithoutRestore = [
  fc.record({
    kind: fc.constant('propose' as const),
    host,
    mode: fc.constantFrom<Mode[]>('add', 'replace', 'based'),
  }),
  fc.record({ kind: fc.constantFrom('poll' as const, 'cut' as const, 'join' as const), host }),
  fc.record({ kind: fc.constant('deliver' as const), from: host, to: host }),
  fc.record({ kind: fc.constantFrom('lose' as const, 'outage' as const, 'recovery' as const) }),
];
const restoreActions = fc.record({
  kind: fc.constantFrom('snapshot' as const, 'restore' as const),
});

interface Run {
  readonly fleet: FakeFleet;
  readonly results: ReadonlyMap<string, ConfigChangeResult>;
  /** Whether a host replaced its document by an older revision. */
  readonly revisionDecreased: boolean;
  /** Whether a change was applied to another version than the one it was based on. */
  readonly baseIgnored: boolean;
}

/**
 * Starts all actions concurrently; the scheduler interleaves the steps of their store and peer
 * calls. Afterwards, connects all hosts and the store, and lets them synchronize.
 */
async function run(actions: readonly Action[], scheduler: fc.Scheduler): Promise<Run> {
  const results = new Map<string, ConfigChangeResult>();
  const lastRevisions: (ConfigRevision | undefined)[] = [];
  let isInterleaving = true;
  let revisionDecreased = false;
  let baseIgnored = false;
  const fleet = createFakeFleet(HOSTS, async (label) => {
    await (isInterleaving ? scheduler.schedule(Promise.resolve(), label) : Promise.resolve());
    fleet.hosts.forEach((manager, index) => {
      revisionDecreased ||= compareRevisions(manager.revision(), lastRevisions[index]) < 0;
      lastRevisions[index] = manager.revision();
    });
  });

  async function propose(manager: ConfigManager, changeId: string, mode: Mode): Promise<void> {
    const exception = { id: changeId, reason: 'test', scope: {}, set: {} };
    const base = manager.version();
    const result = await manager
      .propose({
        changeId,
        author: 'ana',
        reason: 'test',
        basedOnVersion: mode === 'based' ? base : undefined,
        operation:
          mode === 'add'
            ? { kind: 'add-exception', exception: exceptionInputSchema.parse(exception) }
            : { kind: 'set-defaults', defaults: fleetDefaultsSchema.parse({}) },
      })
      .catch(() => undefined);
    if (result?.outcome === 'accepted' && mode === 'based') {
      baseIgnored ||= result.revision.version !== base + 1;
    }
    if (result !== undefined) {
      results.set(changeId, result);
    }
  }

  async function perform(action: Action, index: number): Promise<void> {
    await scheduler.schedule(Promise.resolve(), action.kind);
    switch (action.kind) {
      case 'propose':
        return propose(fleet.hosts[action.host] as ConfigManager, `c${index}`, action.mode);
      case 'poll':
        return fleet.hosts[action.host]?.poll();
      case 'deliver':
        return fleet.deliverHeartbeat(action.from, action.to);
      case 'cut':
        fleet.isolated.add(action.host);
        return undefined;
      case 'join':
        fleet.isolated.delete(action.host);
        return undefined;
      case 'lose':
        fleet.store.unansweredWrites += 1;
        return undefined;
      case 'snapshot':
        return fleet.store.snapshot();
      case 'restore':
        return fleet.store.restore();
      case 'outage':
      case 'recovery':
        fleet.store.unavailable = action.kind === 'outage';
        return undefined;
    }
  }

  const allActions = Promise.all(actions.map(perform));
  await scheduler.waitFor(allActions);
  isInterleaving = false;
  fleet.isolated.clear();
  Object.assign(fleet.store, { unavailable: false, unansweredWrites: 0 });
  for (let round = 0; round < 2; round += 1) {
    for (let from = 0; from < HOSTS; from += 1) {
      for (let to = 0; to < HOSTS; to += 1) {
        await fleet.deliverHeartbeat(from, to);
      }
      await fleet.hosts[from]?.poll();
    }
  }
  return { fleet, results, revisionDecreased, baseIgnored };
}

/** Final revisions of all hosts and of the store. */
function finalRevisions({ fleet }: Run): readonly ConfigRevision[] {
  const text = fleet.store.value(CONFIGURATION_KEY);
  const stored = parseStoredDocument(text).revision ?? { version: 0, changeId: '' };
  return [...fleet.hosts.map((manager) => manager.revision()), stored];
}

test('versions never decrease and no accepted change is replaced by a lower version', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.oneof(...actionsWithoutRestore, restoreActions), { maxLength: 25 }),
      fc.scheduler(),
      async (actions, scheduler) => {
        const outcome = await run(actions, scheduler);
        const [first, ...others] = finalRevisions(outcome) as [ConfigRevision];
        const accepted = [...outcome.results.values()].filter((r) => r.outcome === 'accepted');
        return (
          !outcome.revisionDecreased &&
          !outcome.baseIgnored &&
          others.every((revision) => compareRevisions(revision, first) === 0) &&
          accepted.every(({ revision }) => first.version >= revision.version)
        );
      },
    ),
    { numRuns: NUM_RUNS },
  );
  t.pass();
});

test('while the store loses no data, accepted changes persist and rejected ones have no effect', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.oneof(...actionsWithoutRestore), { maxLength: 25 }),
      fc.scheduler(),
      async (actions, scheduler) => {
        const outcome = await run(actions, scheduler);
        const document = outcome.fleet.hosts[0]?.document();
        return [...outcome.results].every(
          ([changeId, { outcome: result }]) =>
            result === 'unknown' || containsChange(document, changeId) === (result === 'accepted'),
        );
      },
    ),
    { numRuns: NUM_RUNS },
  );
  t.pass();
});
