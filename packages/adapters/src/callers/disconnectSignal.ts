import type { FastifyReply } from 'fastify';

/** Aborts when the caller's connection closes before the response is complete. */
export function disconnectSignal(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}
