import {
  requireAnswer,
  createOrderDispatch,
  createRepeatableDispatch,
  createSendGate,
  createServiceGateway,
} from '@camphorbarrow/core';
import type { RepeatableDispatchOptions, ServiceGateway } from '@camphorbarrow/core';

/**
 * Path of calls to plain services in an experiment. Orders go through the real dispatch; each is
 * sent once, so there is no outcome table.
 */
export function createBenchServices(options: RepeatableDispatchOptions): ServiceGateway {
  const dispatchOrder = createOrderDispatch(options);
  return createServiceGateway({
    dispatchRepeatable: createRepeatableDispatch(options),
    orders: {
      execute: async (request) => requireAnswer(await dispatchOrder(request, createSendGate())),
    },
  });
}
