import type { ServiceGateway } from '../gateway/createServiceGateway.js';
import { isRepeatableCall } from '../gateway/isRepeatableCall.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import type { ServiceClass } from './ServiceClass.js';
import type { BurnCounters } from './createBurnCounters.js';
import { resultOfError } from './resultOfError.js';

function classOf({ context, serviceName, method, path }: ServiceRequest): ServiceClass {
  const nonRepeatableCalls = context.settings.services[serviceName]?.nonRepeatableCalls ?? [];
  return isRepeatableCall(method, path, nonRepeatableCalls) ? 'status' : 'order';
}

/** Wraps a gateway so that the result of every call is counted for the objective of its class. */
export function recordServiceResults(
  gateway: ServiceGateway,
  counters: BurnCounters,
): ServiceGateway {
  return {
    async handle(request, signal) {
      const serviceClass = classOf(request);
      try {
        const response = await gateway.handle(request, signal);
        counters.record(serviceClass, response.statusCode < 500 ? 'good' : 'failed');
        return response;
      } catch (error) {
        counters.record(serviceClass, signal.aborted ? 'caller' : resultOfError(error));
        throw error;
      }
    },
  };
}
