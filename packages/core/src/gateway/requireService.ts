import type { FleetDefaults } from '../config/FleetDefaults.js';
import { UnknownServiceError } from '../errors/UnknownServiceError.js';
import type { ServiceRequest } from './ServiceRequest.js';

export type ServiceSettings = FleetDefaults['services'][string];

/**
 * Returns the settings of the service that is named in the request.
 *
 * @throws UnknownServiceError when no service of that name is configured
 */
export function requireService(request: ServiceRequest): ServiceSettings {
  const { services } = request.context.settings;
  const service = Object.hasOwn(services, request.serviceName)
    ? services[request.serviceName]
    : undefined;
  if (service === undefined) {
    throw new UnknownServiceError(`Service ${request.serviceName} is not configured.`);
  }
  return service;
}
