import {
  requireAnswer,
  createOrderDispatch,
  createRepeatableDispatch,
  createSendGate,
  createServiceGateway,
} from '@camphorbarrow/core';
import type { RepeatableDispatchOptions, ServiceGateway } from '@camphorbarrow/core';

/**
 * Creates the service gateway of an experiment. Orders go through the real dispatch code, but
 * without an outcome table, because every order is sent only once.
 */
export function createBenchServices(options: RepeatableDispatchOptions): ServiceGateway {
  const dispatchOrder = createOrderDispatch(options);
  return createServiceGateway({
    dispatchRepeatable: createRepeatableDispatch(options),
    dispatchQueue: options.dispatchQueue,
    orders: {
      execute: async (request) => requireAnswer(await dispatchOrder(request, createSendGate())),
    },
  });
}
