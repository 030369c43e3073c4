import type { OrderDispatch } from '../dispatch/createOrderDispatch.js';
import type { RepeatableDispatch } from '../dispatch/createRepeatableDispatch.js';
import { createSendGate } from '../dispatch/createSendGate.js';
import { InvalidHeaderError } from '../errors/InvalidHeaderError.js';
import { answerOf } from '../once/answerOf.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import { headerNames } from '../requests/headerNames.js';
import type { ServiceRequest } from './ServiceRequest.js';
import { isRepeatableCall } from './isRepeatableCall.js';
import { requireService } from './requireService.js';

export interface ServiceGatewayOptions {
  readonly dispatchRepeatable: RepeatableDispatch;
  readonly dispatchOrder: OrderDispatch;
}

export interface ServiceGateway {
  /**
   * Serves a call to a plain service in this region. Rejects with a `RequestError`. The caller's
   * signal ends repeatable calls only.
   */
  handle(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
}

/** Creates the path of a call to a plain service. */
export function createServiceGateway(options: ServiceGatewayOptions): ServiceGateway {
  return {
    async handle(request, signal) {
      const { nonRepeatableCalls } = requireService(request);
      if (isRepeatableCall(request.method, request.path, nonRepeatableCalls)) {
        return options.dispatchRepeatable(request, signal);
      }
      if (request.facts.idempotencyKey === undefined) {
        throw new InvalidHeaderError(
          `This call may not be repeated; send ${headerNames.idempotencyKey}.`,
        );
      }
      return answerOf(await options.dispatchOrder(request, createSendGate()));
    },
  };
}
