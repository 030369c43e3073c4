import test from 'ava';
import { FencedOffError } from '../../src/errors/FencedOffError.js';
import type { HostId } from '../../src/ids/HostId.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';
import { createEngineReconciler } from '../../src/engineOrders/createEngineReconciler.js';
import type { EngineReconciler } from '../../src/engineOrders/createEngineReconciler.js';
import { createEngineOwnership } from '../../src/engineOrders/createEngineOwnership.js';
import type { EngineOrderCall } from '../../src/ports/EngineOrderClient.js';
import { createManualClock } from '../../src/time/createManualClock.js';
import { createNamedServer } from '../support/createNamedServer.js';
import { createFakeStore } from '../support/createFakeStore.js';
import { silentLog } from '../support/silentLog.js';

interface FakeEngine {
  weights: string | undefined;
  newestToken: number;
  readonly checksFencing: boolean;
  readonly applied: { readonly weights: string; readonly fencingToken: number }[];
}

function createTestRegion(checksFencing: boolean) {
  const clock = createManualClock();
  const store = createFakeStore(clock);
  const engine: FakeEngine = { weights: undefined, newestToken: 0, checksFencing, applied: [] };
  let desiredWeights = 'v1';
  let downloadWaitMs = 0;

  function apply({ order, fencingToken, onBeforeSend: onPossiblyRun }: EngineOrderCall): void {
    onPossiblyRun();
    if (engine.checksFencing && fencingToken < engine.newestToken) {
      throw new FencedOffError('old');
    }
    engine.newestToken = Math.max(engine.newestToken, fencingToken);
    engine.weights = order.kind === 'load-model' ? order.weights : undefined;
    engine.applied.push({ weights: engine.weights ?? '', fencingToken });
  }

  function createHost(name: string, beforeSend: () => void = () => undefined): EngineReconciler {
    return createEngineReconciler({
      clock,
      log: silentLog,
      ownership: createEngineOwnership({
        clock,
        store,
        hostId: asId<HostId>(name),
        incarnation: asId<Incarnation>(name),
        regionId: asId<RegionId>('norte'),
      }),
      client: {
        readState: () =>
          Promise.resolve({
            weightsByModel: engine.weights === undefined ? {} : { large: engine.weights },
            maxModels: 1,
          }),
        async send(call) {
          beforeSend();
          apply(call);
        },
        close: () => Promise.resolve(),
      },
      weightStore: {
        reserveDownload: () => Promise.resolve(downloadWaitMs),
        close: () => Promise.resolve(),
      },
      engines: () => [createNamedServer('e1')],
      desired: () => [{ model: 'large', weights: desiredWeights, servers: 1 }],
      ignoresFencing: () => !checksFencing,
    });
  }

  return {
    clock,
    store,
    engine,
    createHost,
    desire: (weights: string) => {
      desiredWeights = weights;
    },
    limitDownloads: (waitMs: number) => {
      downloadWaitMs = waitMs;
    },
  };
}

test('only the owner of the region gives orders', async (t) => {
  const bench = createTestRegion(true);
  await bench.createHost('a').reconcile();
  bench.engine.weights = undefined;
  await bench.createHost('b').reconcile();
  t.is(bench.engine.applied.length, 1);
});

test('an owner that was paused past its lease sends nothing when it resumes', async (t) => {
  const bench = createTestRegion(false);
  const paused = bench.createHost('a', () => bench.clock.advance(60_000));
  bench.clock.advance(1);
  await paused.reconcile();
  bench.clock.advance(7_000);
  await paused.reconcile();
  t.deepEqual(bench.engine.applied, []);
});

test('an engine that checks the token refuses the order of an earlier owner', async (t) => {
  const bench = createTestRegion(true);
  await bench.createHost('a').reconcile();
  bench.engine.newestToken = Number.MAX_SAFE_INTEGER;
  bench.desire('v2');
  await bench.createHost('b').reconcile();
  t.is(bench.engine.weights, 'v1');
});

test('a new owner waits before ordering an engine that ignores the token', async (t) => {
  const bench = createTestRegion(false);
  const host = bench.createHost('a');
  await host.reconcile();
  t.is(bench.engine.applied.length, 0);
  bench.clock.advance(6_001);
  await host.reconcile();
  t.is(bench.engine.applied.length, 1);
});

test('no model is loaded before the weight store allows the download', async (t) => {
  const bench = createTestRegion(true);
  const host = bench.createHost('a');
  bench.limitDownloads(4_000);
  await host.reconcile();
  t.is(bench.engine.applied.length, 0);
  bench.limitDownloads(0);
  bench.clock.advance(3_999);
  await host.reconcile();
  t.is(bench.engine.applied.length, 0);
  bench.clock.advance(1);
  await host.reconcile();
  t.is(bench.engine.applied.length, 1);
});
