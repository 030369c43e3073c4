import type { ServerId } from '../ids/ServerId.js';
import type { EngineOrder } from './EngineOrder.js';
import type { EngineState } from './EngineState.js';

export interface EngineObservation {
  readonly serverId: ServerId;
  readonly state: EngineState;
  readonly runningRequests: number;
}

export interface DesiredModel {
  readonly model: string;
  readonly weights: string;
  /** Number of engines of the region that should serve the model. */
  readonly servers: number;
}

export interface PlannedOrder {
  readonly serverId: ServerId;
  readonly order: EngineOrder;
}

const byId = (a: EngineObservation, b: EngineObservation): number =>
  a.serverId < b.serverId ? -1 : 1;

/**
 * Sorts by the disruption that loading a model causes: most free model slots first, then fewest
 * running requests.
 */
function byLoadDisruption(a: EngineObservation, b: EngineObservation): number {
  const freeSlots = ({ state }: EngineObservation): number =>
    state.maxModels - Object.keys(state.weightsByModel).length;
  return freeSlots(b) - freeSlots(a) || a.runningRequests - b.runningRequests || byId(a, b);
}

function planLoads(desired: DesiredModel, engines: readonly EngineObservation[]): PlannedOrder[] {
  const { model, weights } = desired;
  const loaded = engines.filter(({ state }) => state.weightsByModel[model] !== undefined);
  const outdated = loaded.filter(({ state }) => state.weightsByModel[model] !== weights);
  const missing = Math.max(0, desired.servers - loaded.length);
  const available = engines
    .filter(
      ({ state }) =>
        state.weightsByModel[model] === undefined &&
        Object.keys(state.weightsByModel).length < state.maxModels,
    )
    .sort(byLoadDisruption);
  return [...outdated, ...available.slice(0, missing)].map(({ serverId }) => ({
    serverId,
    order: { kind: 'load-model', model, weights },
  }));
}

function planUnloads(desired: DesiredModel, engines: readonly EngineObservation[]): PlannedOrder[] {
  const { model, weights } = desired;
  const current = engines.filter(({ state }) => state.weightsByModel[model] === weights);
  const surplus = Math.max(0, current.length - desired.servers);
  return [...current]
    .sort((a, b) => a.runningRequests - b.runningRequests || byId(a, b))
    .slice(0, surplus)
    .map(({ serverId }) => ({ serverId, order: { kind: 'unload-model', model } }));
}

/**
 * Keeps only the first order for each engine, so that separately planned orders do not overfill it.
 */
function onePerEngine(orders: readonly PlannedOrder[]): readonly PlannedOrder[] {
  const first = new Map<ServerId, PlannedOrder>();
  orders.forEach((order) => {
    if (!first.has(order.serverId)) {
      first.set(order.serverId, order);
    }
  });
  return [...first.values()];
}

/**
 * Plans the orders that bring the engines of a region to the desired models. A plan loads each
 * model on at most one engine, so that the others keep serving the model while its outdated weights
 * are replaced there.
 */
export function planEngineOrders(
  desired: readonly DesiredModel[],
  engines: readonly EngineObservation[],
): readonly PlannedOrder[] {
  const orders = desired.flatMap((entry) => {
    const loads = planLoads(entry, engines);
    return loads.length > 0 ? loads.slice(0, 1) : planUnloads(entry, engines);
  });
  return onePerEngine(orders);
}
