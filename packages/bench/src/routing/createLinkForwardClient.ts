import { RequestError } from '@camphorbarrow/core';
import type {
  ForwardAnswer,
  ForwardAttempt,
  ForwardClient,
  InferenceAnswer,
  RegionId,
} from '@camphorbarrow/core';
import type { FakeLinks } from '../fakes/createFakeLinks.js';

export interface LinkForwardClientOptions {
  readonly links: FakeLinks;
  readonly regionId: RegionId;
  /** Serves the attempt at the peer that its URL identifies. */
  readonly serveAt: (attempt: ForwardAttempt, signal: AbortSignal) => Promise<InferenceAnswer>;
}

/** Forwards over simulated links: connection setup, request body and response. */
export function createLinkForwardClient(options: LinkForwardClientOptions): ForwardClient {
  const { links, regionId } = options;
  return {
    async start(attempt, signal): Promise<ForwardAnswer> {
      const target = attempt.regionId;
      await links.send(regionId, target, 0);
      await links.send(target, regionId, 0);
      await links.send(regionId, target, attempt.body.length);
      signal.throwIfAborted();
      try {
        const response = await options.serveAt(attempt, signal);
        return response.kind === 'stream'
          ? { kind: 'stream', events: links.forwardEvents(target, regionId, response.events) }
          : response;
      } catch (error) {
        if (!(error instanceof RequestError)) {
          throw error;
        }
        await links.send(target, regionId, 0);
        const { code, outcome, statusCode, retryAfterMs, details, message } = error;
        return { kind: 'refused', code, outcome, statusCode, retryAfterMs, details, message };
      }
    },
    close: async () => undefined,
  };
}
