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
   * Timeout for establishing a connection, and for calls that have no timeout of their own and
   * carry no large document.
   */
  readonly timeoutMs: number;
  /** Timeout for burn counters and configuration documents of up to 1 MB. @default 3000 */
  readonly documentTimeoutMs?: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

const DEFAULT_DOCUMENT_TIMEOUT_MS = 3_000;
const serversSchema = z.array(hostListEntrySchema);

async function translate<Result>(call: Promise<Result>): Promise<Result> {
  try {
    return await call;
  } catch (cause) {
    const reason = cause instanceof TRPCClientError ? cause.message : String(cause);
    throw new PeerUnavailableError(`The call to the peer failed: ${reason}`, { cause });
  }
}

/** Creates a client that calls other entry hosts over tRPC. */
export function createTrpcPeerClient(options: TrpcPeerClientOptions): PeerClient {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });
  const clients = new Map<string, TRPCClient<PeerRouter>>();

  function clientOf(peerUrl: string): TRPCClient<PeerRouter> {
    const existing = clients.get(peerUrl);
    if (existing !== undefined) {
      return existing;
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

  const timeoutOptions = (timeoutMs = options.timeoutMs): { signal: AbortSignal } => ({
    signal: AbortSignal.timeout(timeoutMs),
  });
  const documentTimeoutOptions = (): { signal: AbortSignal } => ({
    signal: AbortSignal.timeout(options.documentTimeoutMs ?? DEFAULT_DOCUMENT_TIMEOUT_MS),
  });

  return {
    heartbeat: async (peerUrl, message) =>
      heartbeatSchema.parse(
        await translate(clientOf(peerUrl).heartbeat.mutate(message as never, timeoutOptions())),
      ),
    async fetchConfig(peerUrl) {
      return (
        (await translate(
          clientOf(peerUrl).fetchConfig.query(undefined, documentTimeoutOptions()),
        )) ?? undefined
      );
    },
    pushConfig: (peerUrl, document) =>
      translate(clientOf(peerUrl).pushConfig.mutate(document, documentTimeoutOptions())),
    reportCrash: async (peerUrl, report) =>
      crashReportSchema.parse(
        await translate(clientOf(peerUrl).reportCrash.mutate(report as never, timeoutOptions())),
      ),
    fetchServers: async (peerUrl) =>
      serversSchema.parse(
        await translate(clientOf(peerUrl).fetchServers.query(undefined, timeoutOptions())),
      ),
    async relayOrder(peerUrl, order, timeoutMs) {
      const call = clientOf(peerUrl).relayOrder.mutate(order, timeoutOptions(timeoutMs));
      return relayResultSchema.parse(await translate(call));
    },
    async orderOutcome(peerUrl, query, timeoutMs) {
      const call = clientOf(peerUrl).orderOutcome.query(query, timeoutOptions(timeoutMs));
      return claimStatusSchema.parse(await translate(call));
    },
    burnCounters: async (peerUrl) =>
      hostBurnSchema.parse(
        await translate(clientOf(peerUrl).burnCounters.query(undefined, documentTimeoutOptions())),
      ),
    close: () => agent.destroy(),
  };
}
