import type { IncomingMessage } from 'node:http';
import type { ServerState } from '../model/ServerState.js';
import type { GatewayContext } from './GatewayContext.js';
import { recordServerNotices } from './recordServerNotices.js';

export type CacheResponseRecorder = (server: ServerState, response: IncomingMessage) => void;

/**
 * Creates a function that records the notices in responses to cache calls. Such a response has no
 * attempt id; another server that got the address names itself.
 */
export function createCacheResponseRecorder(context: GatewayContext): CacheResponseRecorder {
  return (server, { headers, statusCode = 0 }) => {
    const metadata = context.codec.readResponse(headers);
    if (metadata.serverId === undefined || metadata.serverId === server.registration.id) {
      recordServerNotices(context, server, { status: statusCode, metadata });
    }
  };
}
