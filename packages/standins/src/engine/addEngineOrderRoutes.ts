import type { FastifyInstance } from 'fastify';

export interface EngineOrderRoutesOptions {
  /** Models loaded at the start. */
  readonly models: readonly string[];
  /** Number of models that can be loaded. @default one more than at the start */
  readonly maxModels?: number;
  /** Whether an order with an outdated fencing token is rejected. @default true */
  readonly checksFencing?: boolean;
}

export interface LoadedModels {
  serves(model: string): boolean;
}

interface OrderBody {
  readonly kind: 'load-model' | 'unload-model';
  readonly model: string;
  readonly weights?: string;
  readonly fencingToken: number;
}

const INITIAL_WEIGHTS = 'initial';

/** Adds the routes for orders to the engine (docs/platform.md); tracks the models they load. */
export function addEngineOrderRoutes(
  app: FastifyInstance,
  options: EngineOrderRoutesOptions,
): LoadedModels {
  const weightsByModel = new Map(options.models.map((model) => [model, INITIAL_WEIGHTS]));
  const maxModels = options.maxModels ?? options.models.length + 1;
  const checksFencing = options.checksFencing ?? true;
  let newestToken = 0;

  app.get('/engine-orders/state', async () => ({
    weightsByModel: Object.fromEntries(weightsByModel),
    maxModels,
    newestToken,
  }));
  app.post('/engine-orders', async (request, reply) => {
    const { kind, model, weights, fencingToken } = request.body as OrderBody;
    if (checksFencing && fencingToken < newestToken) {
      return reply.code(409).send({ error: 'old fencing token', newestToken });
    }
    newestToken = Math.max(newestToken, fencingToken);
    if (kind === 'unload-model') {
      weightsByModel.delete(model);
    } else if (weightsByModel.has(model) || weightsByModel.size < maxModels) {
      weightsByModel.set(model, weights ?? INITIAL_WEIGHTS);
    } else {
      return reply.code(507).send({ error: 'no place for another model' });
    }
    return {};
  });
  return { serves: (model) => weightsByModel.has(model) };
}
