import type { ResponseMetadata } from '../model/ResponseMetadata.js';
import type { ServerState } from '../model/ServerState.js';
import type { GatewayContext } from './GatewayContext.js';

/** Status of a rejection that may ask for a pause. */
const UNAVAILABLE = 503;

export interface ServerResponse {
  readonly status: number;
  readonly metadata: ResponseMetadata;
}

/**
 * Records what a server says about itself in the head of a response, whatever becomes of the
 * response. The caller has checked that the response comes from the server.
 */
export function recordServerNotices(
  {
    leavingServers,
    rejectionLimits,
    serverPauses,
  }: Pick<GatewayContext, 'leavingServers' | 'rejectionLimits' | 'serverPauses'>,
  server: ServerState,
  { status, metadata }: ServerResponse,
): void {
  if (metadata.leaving) {
    leavingServers.recordResponse(server, status);
  }
  const { attemptId, maxRejectionsPerSecond } = metadata;
  // Responses to other calls than requests need not repeat the limit.
  if (maxRejectionsPerSecond !== undefined || attemptId !== undefined) {
    rejectionLimits.recordResponse(server, maxRejectionsPerSecond);
  }
  const { retryAfterMs } = metadata;
  if (status === UNAVAILABLE && retryAfterMs !== undefined) {
    serverPauses.recordRejection(server, { status, retryAfterMs });
  }
}
