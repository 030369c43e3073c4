import type { FastifyInstance } from 'fastify';
import { handleConnectionErrors } from '@camphorbarrow/core';
import type { Clock } from '@camphorbarrow/core';

/** Handles connection errors in place of fastify, which closes connections at once. */
export function replaceConnectionErrorHandling(
  { server }: Pick<FastifyInstance, 'server'>,
  clock: Clock,
): void {
  server.removeAllListeners('clientError');
  // Responses have no limit on their memory that could tell.
  handleConnectionErrors(server, { clock, isMemoryShort: () => true });
}
