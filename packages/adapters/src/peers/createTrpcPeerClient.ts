import { TRPCClientError, createTRPCClient, httpLink } from '@trpc/client';
import type { TRPCClient } from '@trpc/client';
import { Agent, fetch } from 'undici';
import { z } from 'zod';
import { PeerUnavailableError } from '@camphorbarrow/core';
import type { PeerClient } from '@camphorbarrow/core';
import { hostListEntrySchema } from '../platform/hostListEntrySchema.js';
import { crashReportSchema } from './crashReportSchema.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { claimStatusSchema } from './claimStatusSchema.js';
import { hostBurnSchema } from './hostBurnSchema.js';
import { heartbeatSchema } from './heartbeatSchema.js';
import type { PeerRouter } from './peerRouter.js';
import { relayResultSchema } from './relayResultSchema.js';

export interface TrpcPeerClientOptions {
  readonly peerKey: string;
  /**
   * Limit for making a connection and for every call that names none of its own or carries no
   * configuration document.
   */
  readonly timeoutMs: number;
  /** Limit for calls that carry a configuration document of up to 1 MB. @default 3000 */
  readonly documentTimeoutMs?: number;
  /** Local IP address of outgoing connections; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

const DEFAULT_DOCUMENT_TIMEOUT_MS = 3_000;
const serversSchema = z.array(hostListEntrySchema);

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
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });
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
  const documentLimit = (): { signal: AbortSignal } => ({
    signal: AbortSignal.timeout(options.documentTimeoutMs ?? DEFAULT_DOCUMENT_TIMEOUT_MS),
  });

  return {
    heartbeat: async (peerUrl, message) =>
      heartbeatSchema.parse(
        await translate(clientOf(peerUrl).heartbeat.mutate(message as never, limit())),
      ),
    async fetchConfig(peerUrl) {
      return (
        (await translate(clientOf(peerUrl).fetchConfig.query(undefined, documentLimit()))) ??
        undefined
      );
    },
    pushConfig: (peerUrl, document) =>
      translate(clientOf(peerUrl).pushConfig.mutate(document, documentLimit())),
    reportCrash: async (peerUrl, report) =>
      crashReportSchema.parse(
        await translate(clientOf(peerUrl).reportCrash.mutate(report as never, limit())),
      ),
    fetchServers: async (peerUrl) =>
      serversSchema.parse(
        await translate(clientOf(peerUrl).fetchServers.query(undefined, limit())),
      ),
    async relayOrder(peerUrl, order, timeoutMs) {
      const call = clientOf(peerUrl).relayOrder.mutate(order, limit(timeoutMs));
      return relayResultSchema.parse(await translate(call));
    },
    async orderOutcome(peerUrl, query, timeoutMs) {
      const call = clientOf(peerUrl).orderOutcome.query(query, limit(timeoutMs));
      return claimStatusSchema.parse(await translate(call));
    },
    burnCounters: async (peerUrl) =>
      hostBurnSchema.parse(
        await translate(clientOf(peerUrl).burnCounters.query(undefined, documentLimit())),
      ),
    close: () => agent.destroy(),
  };
}
