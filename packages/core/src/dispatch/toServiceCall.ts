import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import { requireService } from '../gateway/requireService.js';
import type { ServiceCall } from '../ports/ServiceClient.js';
import type { ServerView } from '../routing/ServerView.js';

/**
 * Converts a service request to the call to one server.
 *
 * @throws UnknownServiceError when the service is no longer configured
 */
export function toServiceCall(
  request: ServiceRequest,
  server: ServerView,
  attempt: Pick<ServiceCall, 'freshConnection' | 'onBeforeSend'>,
): ServiceCall {
  const { method, path, contentType, body, context } = request;
  return {
    baseUrl: server.entry.baseUrl,
    method,
    path,
    contentType,
    body,
    requestId: context.requestId,
    connectTimeoutMs: context.settings.timeouts.connectTimeoutMs,
    answerTimeoutMs: requireService(request).answerTimeoutMs,
    ...attempt,
  };
}
