import { FencedOffError } from '../errors/FencedOffError.js';
import type { ServerId } from '../ids/ServerId.js';
import type { Clock } from '../ports/Clock.js';
import type { EngineOrderClient } from '../ports/EngineOrderClient.js';
import type { LogSink } from '../ports/LogSink.js';
import type { WeightStore } from '../ports/WeightStore.js';
import type { ServerView } from '../routing/ServerView.js';
import type { EngineOwnership } from './createEngineOwnership.js';
import type { DesiredModel, EngineObservation, PlannedOrder } from './planEngineOrders.js';
import { planEngineOrders } from './planEngineOrders.js';

export interface EngineReconcilerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly ownership: EngineOwnership;
  readonly client: EngineOrderClient;
  readonly weightStore: WeightStore;
  /** Engines of this entry host's region that accept requests. */
  readonly engines: () => readonly ServerView[];
  readonly desired: () => readonly DesiredModel[];
  /** Whether the engine on a server ignores fencing tokens. */
  readonly ignoresFencing: (serverId: ServerId) => boolean;
}

export interface EngineReconciler {
  /** Compares desired and actual models once and sends the orders that resolve the differences. */
  reconcile(): Promise<void>;
  start(): void;
  close(): Promise<void>;
}

const INTERVAL_MS = 5_000;
const STATE_TIMEOUT_MS = 1_000;
const ORDER_TIMEOUT_MS = 3_000;
/**
 * Wait of a new owner before its first order to an engine that ignores fencing tokens; longer than
 * an order of the previous owner can be in flight.
 */
const TAKEOVER_WAIT_MS = 2 * ORDER_TIMEOUT_MS;

/** Creates the task that reconciles the models of a region's engines with the configuration. */
export function createEngineReconciler(options: EngineReconcilerOptions): EngineReconciler {
  const { clock, log, ownership, client, weightStore } = options;
  const stopping = new AbortController();
  let task: Promise<void> | undefined;
  let weightsAvailableAtMs = -Infinity;

  async function observe(server: ServerView): Promise<EngineObservation | undefined> {
    try {
      const state = await client.readState(server.entry.baseUrl, STATE_TIMEOUT_MS);
      const runningRequests = server.load?.runningRequests ?? 0;
      return { serverId: server.entry.serverId, state, runningRequests };
    } catch (cause) {
      log.warn('engine-state-unavailable', {
        serverId: server.entry.serverId,
        error: String(cause),
      });
      return undefined;
    }
  }

  /**
   * Reserves the download of a model's weights, which the platform rate-limits. Returns whether the
   * order may be sent now.
   */
  async function tryReserveDownload({ order }: PlannedOrder): Promise<boolean> {
    if (order.kind !== 'load-model') {
      return true;
    }
    if (clock.monotonicMs() < weightsAvailableAtMs) {
      return false;
    }
    const waitMs = await weightStore.reserveDownload(order.weights);
    weightsAvailableAtMs = clock.monotonicMs() + waitMs;
    return waitMs === 0;
  }

  function mustWaitForTakeover(serverId: ServerId): boolean {
    const ownedMs = clock.monotonicMs() - ownership.ownerSinceMs();
    return options.ignoresFencing(serverId) && ownedMs < TAKEOVER_WAIT_MS;
  }

  async function send(
    planned: PlannedOrder,
    server: ServerView,
    fencingToken: number,
  ): Promise<void> {
    const { serverId, order } = planned;
    if (mustWaitForTakeover(serverId) || !(await tryReserveDownload(planned))) {
      return;
    }
    await client.send({
      baseUrl: server.entry.baseUrl,
      order,
      fencingToken,
      timeoutMs: ORDER_TIMEOUT_MS,
      // Checked directly before the write, after all waits of this host, so that a paused process
      // cannot send an order after its lease has expired.
      onBeforeSend: () => ownership.assertHeldFor(ORDER_TIMEOUT_MS),
    });
    log.info('engine-order-sent', { serverId, kind: order.kind, model: order.model, fencingToken });
  }

  async function sendAll(
    orders: readonly PlannedOrder[],
    servers: ReadonlyMap<ServerId, ServerView>,
    fencingToken: number,
  ): Promise<void> {
    for (const planned of orders) {
      const server = servers.get(planned.serverId);
      if (server === undefined) {
        continue;
      }
      try {
        await send(planned, server, fencingToken);
      } catch (cause) {
        log.warn('engine-order-failed', { serverId: planned.serverId, error: String(cause) });
        if (cause instanceof FencedOffError) {
          return;
        }
      }
    }
  }

  async function reconcile(): Promise<void> {
    const desired = options.desired();
    if (desired.length === 0) {
      return;
    }
    const fencingToken = await ownership.acquire();
    if (fencingToken === undefined) {
      return;
    }
    const servers = new Map(options.engines().map((server) => [server.entry.serverId, server]));
    const observed = await Promise.all([...servers.values()].map(observe));
    const engines = observed.filter((observation) => observation !== undefined);
    await sendAll(planEngineOrders(desired, engines), servers, fencingToken);
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        await reconcile();
      } catch (cause) {
        log.warn('engine-reconcile-failed', { error: String(cause) });
      }
      await clock.sleep(INTERVAL_MS, stopping.signal).catch(() => undefined);
    }
  }

  return {
    reconcile,
    start() {
      task = run();
    },
    async close() {
      stopping.abort();
      await task;
      await ownership.release().catch(() => undefined);
    },
  };
}
