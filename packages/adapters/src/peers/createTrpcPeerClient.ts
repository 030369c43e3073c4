import { TRPCClientError, createTRPCClient, httpLink } from '@trpc/client';
import type { TRPCClient } from '@trpc/client';
import { Agent, fetch } from 'undici';
import { z } from 'zod';
import { PeerUnavailableError, withInputTimeout } from '@camphorbarrow/core';
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

  const documentTimeoutMs = options.documentTimeoutMs ?? DEFAULT_DOCUMENT_TIMEOUT_MS;

  /** Calls a peer, by default with the timeout of calls that carry no large document. */
  const call = <Result>(
    peerUrl: string,
    run: (client: TRPCClient<PeerRouter>, callOptions: { signal: AbortSignal }) => Promise<Result>,
    timeoutMs = options.timeoutMs,
  ): Promise<Result> =>
    translate(withInputTimeout(timeoutMs, (signal) => run(clientOf(peerUrl), { signal })));

  return {
    heartbeat: async (peerUrl, message) =>
      heartbeatSchema.parse(
        await call(peerUrl, (client, callOptions) =>
          client.heartbeat.mutate(message as never, callOptions),
        ),
      ),
    fetchConfig: async (peerUrl) =>
      (await call(
        peerUrl,
        (client, callOptions) => client.fetchConfig.query(undefined, callOptions),
        documentTimeoutMs,
      )) ?? undefined,
    pushConfig: (peerUrl, document) =>
      call(
        peerUrl,
        (client, callOptions) => client.pushConfig.mutate(document, callOptions),
        documentTimeoutMs,
      ),
    reportCrash: async (peerUrl, report) =>
      crashReportSchema.parse(
        await call(peerUrl, (client, callOptions) =>
          client.reportCrash.mutate(report as never, callOptions),
        ),
      ),
    fetchServers: async (peerUrl) =>
      serversSchema.parse(
        await call(peerUrl, (client, callOptions) =>
          client.fetchServers.query(undefined, callOptions),
        ),
      ),
    relayOrder: async (peerUrl, order, timeoutMs) =>
      relayResultSchema.parse(
        await call(
          peerUrl,
          (client, callOptions) => client.relayOrder.mutate(order, callOptions),
          timeoutMs,
        ),
      ),
    orderOutcome: async (peerUrl, query, timeoutMs) =>
      claimStatusSchema.parse(
        await call(
          peerUrl,
          (client, callOptions) => client.orderOutcome.query(query, callOptions),
          timeoutMs,
        ),
      ),
    burnCounters: async (peerUrl) =>
      hostBurnSchema.parse(
        await call(
          peerUrl,
          (client, callOptions) => client.burnCounters.query(undefined, callOptions),
          documentTimeoutMs,
        ),
      ),
    close: () => agent.destroy(),
  };
}
