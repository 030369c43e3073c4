import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import { requireService } from '../gateway/requireService.js';
import type { ServiceCall } from '../ports/ServiceClient.js';
import type { ServerView } from '../routing/ServerView.js';

/**
 * The call of a service request to one server.
 *
 * @throws UnknownServiceError when the configuration no longer has the service
 */
export function toServiceCall(
  request: ServiceRequest,
  server: ServerView,
  attempt: Pick<ServiceCall, 'freshConnection' | 'onBeforeSend'>,
): ServiceCall {
  const { method, path, contentType, body, context: facts } = request;
  return {
    baseUrl: server.entry.baseUrl,
    method,
    path,
    contentType,
    body,
    requestId: facts.requestId,
    connectTimeoutMs: facts.settings.timeouts.connectTimeoutMs,
    answerTimeoutMs: requireService(request).answerTimeoutMs,
    ...attempt,
  };
}
