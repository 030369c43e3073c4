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
  newestFencingToken: number;
  readonly checksFencing: boolean;
  readonly applied: { readonly weights: string; readonly fencingToken: number }[];
}

function createTestRegion(checksFencing: boolean) {
  const clock = createManualClock();
  const store = createFakeStore(clock);
  const engine: FakeEngine = {
    weights: undefined,
    newestFencingToken: 0,
    checksFencing,
    applied: [],
  };
  let desiredWeights = 'v1';
  let downloadWaitMs = 0;

  function apply({ order, fencingToken, onBeforeSend }: EngineOrderCall): void {
    onBeforeSend();
    if (engine.checksFencing && fencingToken < engine.newestFencingToken) {
      throw new FencedOffError('old');
    }
    engine.newestFencingToken = Math.max(engine.newestFencingToken, fencingToken);
    engine.weights = order.kind === 'load-model' ? order.weights : undefined;
    engine.applied.push({ weights: engine.weights ?? '', fencingToken });
  }

  function createReconciler(
    name: string,
    beforeSend: () => void = () => undefined,
  ): EngineReconciler {
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
    createReconciler,
    setDesiredWeights: (weights: string) => {
      desiredWeights = weights;
    },
    setDownloadWait: (waitMs: number) => {
      downloadWaitMs = waitMs;
    },
  };
}

test('only the owner of the region sends orders', async (t) => {
  const region = createTestRegion(true);
  await region.createReconciler('a').reconcile();
  region.engine.weights = undefined;
  await region.createReconciler('b').reconcile();
  t.is(region.engine.applied.length, 1);
});

test('an owner that was paused until its lease expired sends nothing when it resumes', async (t) => {
  const region = createTestRegion(false);
  const pausedReconciler = region.createReconciler('a', () => region.clock.advance(60_000));
  region.clock.advance(1);
  await pausedReconciler.reconcile();
  region.clock.advance(7_000);
  await pausedReconciler.reconcile();
  t.deepEqual(region.engine.applied, []);
});

test('an engine that checks fencing tokens rejects an order with an older token', async (t) => {
  const region = createTestRegion(true);
  await region.createReconciler('a').reconcile();
  region.engine.newestFencingToken = Number.MAX_SAFE_INTEGER;
  region.setDesiredWeights('v2');
  await region.createReconciler('b').reconcile();
  t.is(region.engine.weights, 'v1');
});

test('a new owner waits before it sends orders to an engine that ignores fencing tokens', async (t) => {
  const region = createTestRegion(false);
  const reconciler = region.createReconciler('a');
  await reconciler.reconcile();
  t.is(region.engine.applied.length, 0);
  region.clock.advance(6_001);
  await reconciler.reconcile();
  t.is(region.engine.applied.length, 1);
});

test('no model is loaded before the weight store allows its download', async (t) => {
  const region = createTestRegion(true);
  const reconciler = region.createReconciler('a');
  region.setDownloadWait(4_000);
  await reconciler.reconcile();
  t.is(region.engine.applied.length, 0);
  region.setDownloadWait(0);
  region.clock.advance(3_999);
  await reconciler.reconcile();
  t.is(region.engine.applied.length, 0);
  region.clock.advance(1);
  await reconciler.reconcile();
  t.is(region.engine.applied.length, 1);
});
