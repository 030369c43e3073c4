import type { FleetDefaults } from '../config/FleetDefaults.js';
import { UnknownServiceError } from '../errors/UnknownServiceError.js';
import type { ServiceRequest } from './ServiceRequest.js';

export type ServiceSettings = FleetDefaults['services'][string];

/**
 * Settings of the service that a request names.
 *
 * @throws UnknownServiceError when the configuration has none of that name
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
