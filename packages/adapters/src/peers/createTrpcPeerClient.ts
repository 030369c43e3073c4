import { TRPCClientError, createTRPCClient, httpLink } from '@trpc/client';
import type { TRPCClient } from '@trpc/client';
import { Agent, fetch } from 'undici';
import { PeerUnavailableError } from '@camphorbarrow/core';
import type { PeerClient } from '@camphorbarrow/core';
import { claimStatusSchema } from './claimStatusSchema.js';
import { heartbeatSchema } from './heartbeatSchema.js';
import type { PeerRouter } from './peerRouter.js';
import { relayResultSchema } from './relayResultSchema.js';

export interface TrpcPeerClientOptions {
  readonly peerKey: string;
  /** Limit for every call that names none of its own, and for making a connection. */
  readonly timeoutMs: number;
}

async function translate<Result>(call: Promise<Result>): Promise<Result> {
  try {
    return await call;
  } catch (cause) {
    const reason = cause instanceof TRPCClientError ? cause.message : String(cause);
    throw new PeerUnavailableError(`The peer did not answer: ${reason}`, { cause });
  }
}

/** Calls to other entry hosts over tRPC. */
export function createTrpcPeerClient(options: TrpcPeerClientOptions): PeerClient {
  const agent = new Agent({ connectTimeout: options.timeoutMs });
  const clients = new Map<string, TRPCClient<PeerRouter>>();

  function clientOf(peerUrl: string): TRPCClient<PeerRouter> {
    const known = clients.get(peerUrl);
    if (known !== undefined) {
      return known;
    }
    const client = createTRPCClient<PeerRouter>({
      links: [
        httpLink({
          url: `${peerUrl}/trpc`,
          headers: { authorization: `Bearer ${options.peerKey}` },
          fetch: (url, init) =>
            fetch(String(url), { ...(init as object), dispatcher: agent }) as never,
        }),
      ],
    });
    clients.set(peerUrl, client);
    return client;
  }

  const limit = (timeoutMs = options.timeoutMs): { signal: AbortSignal } => ({
    signal: AbortSignal.timeout(timeoutMs),
  });

  return {
    heartbeat: async (peerUrl, message) =>
      heartbeatSchema.parse(
        await translate(clientOf(peerUrl).heartbeat.mutate(message as never, limit())),
      ),
    async fetchConfig(peerUrl) {
      return (
        (await translate(clientOf(peerUrl).fetchConfig.query(undefined, limit()))) ?? undefined
      );
    },
    pushConfig: (peerUrl, document) =>
      translate(clientOf(peerUrl).pushConfig.mutate(document, limit())),
    async relayOrder(peerUrl, order, timeoutMs) {
      const call = clientOf(peerUrl).relayOrder.mutate(order, limit(timeoutMs));
      return relayResultSchema.parse(await translate(call));
    },
    async orderOutcome(peerUrl, query, timeoutMs) {
      const call = clientOf(peerUrl).orderOutcome.query(query, limit(timeoutMs));
      return claimStatusSchema.parse(await translate(call));
    },
    close: () => agent.destroy(),
  };
}
