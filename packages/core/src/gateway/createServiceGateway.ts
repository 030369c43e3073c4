import type { DispatchQueue } from '../dispatch/createDispatchQueue.js';
import type { RepeatableDispatch } from '../dispatch/createRepeatableDispatch.js';
import type { OrderExecutor } from '../orders/createOrderExecutor.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { ServiceRequest } from './ServiceRequest.js';
import { isRepeatableCall } from './isRepeatableCall.js';
import { requireService } from './requireService.js';

export interface ServiceGatewayOptions {
  readonly dispatchRepeatable: RepeatableDispatch;
  readonly orders: Pick<OrderExecutor, 'execute'>;
  readonly dispatchQueue: DispatchQueue;
}

export interface ServiceGateway {
  /**
   * Serves a call to a plain service in this region. Rejects with a `RequestError`. The signal
   * aborts repeatable calls only. An order that has started continues when the caller disconnects,
   * so that a resend gets its outcome; one whose caller has already left is not started.
   */
  handle(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
}

/** Creates the gateway for calls to plain services. */
export function createServiceGateway(options: ServiceGatewayOptions): ServiceGateway {
  return {
    async handle(request, signal) {
      const { nonRepeatableCalls } = requireService(request);
      if (isRepeatableCall(request.method, request.path, nonRepeatableCalls)) {
        return options.dispatchRepeatable(request, signal);
      }
      await options.dispatchQueue.wait(signal);
      signal.throwIfAborted();
      return options.orders.execute(request);
    },
  };
}
