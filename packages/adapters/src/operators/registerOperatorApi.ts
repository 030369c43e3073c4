import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify';
import type { FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify';
import type { FastifyInstance } from 'fastify';
import { UnauthenticatedError } from '@camphorbarrow/core';
import type { OperatorApi } from './OperatorApi.js';
import { findOperator } from './findOperator.js';
import { operatorPrefix } from './operatorPrefix.js';
import { operatorRouter } from './operatorRouter.js';
import type { OperatorRouter } from './operatorRouter.js';

export interface OperatorAccess {
  /** Keys by operator name. */
  readonly keys: Readonly<Record<string, string>>;
  readonly api: OperatorApi;
}

/** Adds the operators' procedures to a listener. Every call needs an operator's key. */
export async function registerOperatorApi(
  app: FastifyInstance,
  { keys, api }: OperatorAccess,
): Promise<void> {
  const authenticate = (authorization: string | undefined): string => {
    const operator = findOperator(keys, authorization);
    if (operator === undefined) {
      throw new UnauthenticatedError('The operator key is missing or wrong.');
    }
    return operator;
  };
  await app.register(async (scope) => {
    // Runs before the body is read, so that the host parses no body of a caller without a key.
    scope.addHook('onRequest', async (request) => {
      authenticate(request.headers.authorization);
    });
    await scope.register(fastifyTRPCPlugin, {
      prefix: operatorPrefix,
      trpcOptions: {
        router: operatorRouter,
        createContext: ({ req }) => ({ api, operator: authenticate(req.headers.authorization) }),
      },
    } satisfies FastifyTRPCPluginOptions<OperatorRouter>);
  });
}
