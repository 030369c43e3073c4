import { BackendFailedError } from '../errors/BackendFailedError.js';
import { InvalidHeaderError } from '../errors/InvalidHeaderError.js';
import { NoServerError } from '../errors/NoServerError.js';
import { UnknownServiceError } from '../errors/UnknownServiceError.js';
import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ServiceAnswer, ServiceClient } from '../ports/ServiceClient.js';
import type { CallerFacts } from '../requests/CallerFacts.js';
import { headerNames } from '../requests/headerNames.js';

export interface ServiceRequest {
  readonly facts: CallerFacts;
  readonly serviceName: string;
  readonly method: string;
  /** Path and query behind the service's name, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string | undefined;
}

export interface ServiceGatewayOptions {
  readonly random: RandomSource;
  readonly registry: ServerRegistry;
  readonly serviceClient: ServiceClient;
}

export interface ServiceGateway {
  /** Serves a call to a plain service in this region. Rejects with a `RequestError`. */
  handle(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer>;
}

function isRepeatable(request: ServiceRequest, nonRepeatableCalls: readonly string[]): boolean {
  const call = `${request.method} ${request.path}`;
  return !nonRepeatableCalls.some((prefix) => call.startsWith(prefix));
}

/** Creates the path of a call to a plain service. */
export function createServiceGateway(options: ServiceGatewayOptions): ServiceGateway {
  return {
    async handle(request, signal) {
      const { facts, serviceName } = request;
      const service = facts.settings.services[serviceName];
      if (service === undefined) {
        throw new UnknownServiceError(`Service ${serviceName} is not configured.`);
      }
      const repeatable = isRepeatable(request, service.nonRepeatableCalls);
      if (!repeatable && facts.idempotencyKey === undefined) {
        throw new InvalidHeaderError(
          `This call may not be repeated; send ${headerNames.idempotencyKey}.`,
        );
      }
      const servers = options.registry
        .servers()
        .filter(({ entry, accepting }) => accepting && entry.serviceName === serviceName);
      const server = servers[Math.floor(options.random.next() * servers.length)];
      if (server === undefined) {
        throw new NoServerError(`No live backend server runs service ${serviceName}.`);
      }
      try {
        return await options.serviceClient.call(
          {
            baseUrl: server.entry.baseUrl,
            method: request.method,
            path: request.path,
            contentType: request.contentType,
            body: request.body,
            requestId: facts.requestId,
            connectTimeoutMs: facts.settings.timeouts.connectTimeoutMs,
            answerTimeoutMs: service.answerTimeoutMs,
            freshConnection: !repeatable,
            onPossiblyRun: () => undefined,
          },
          signal,
        );
      } catch (cause) {
        throw new BackendFailedError('The service did not answer.', { cause });
      }
    },
  };
}
