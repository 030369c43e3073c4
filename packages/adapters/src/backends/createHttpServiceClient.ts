import { Agent, Client, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { ServiceAnswer, ServiceCall, ServiceClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { notifyBeforeSend } from '../http/notifyBeforeSend.js';
import { localAddressOptions } from '../http/localAddressOptions.js';

export interface HttpServiceClientOptions {
  /** Limit for making a connection. */
  readonly connectTimeoutMs: number;
  /** Local IP address of outgoing connections; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

async function exchange(
  call: ServiceCall,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<ServiceAnswer> {
  const response = await request(`${call.baseUrl}${call.path}`, {
    method: call.method,
    dispatcher: notifyBeforeSend(dispatcher, call.onBeforeSend),
    // The client's own limits restart with every byte, so a slow answer could last for ever.
    signal: AbortSignal.any([
      signal,
      AbortSignal.timeout(call.connectTimeoutMs + call.answerTimeoutMs),
    ]),
    headersTimeout: call.answerTimeoutMs,
    bodyTimeout: call.answerTimeoutMs,
    headers: {
      'x-request-id': call.requestId,
      ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
    },
    body: call.body ?? null,
  });
  const contentType = response.headers['content-type'];
  return {
    statusCode: response.statusCode,
    contentType: typeof contentType === 'string' ? contentType : undefined,
    body: await response.body.text(),
  };
}

/** Plain services over HTTP. */
export function createHttpServiceClient(options: HttpServiceClientOptions): ServiceClient {
  const outgoing = localAddressOptions(options.localAddress);
  const agent = new Agent({ connectTimeout: options.connectTimeoutMs, ...outgoing });
  return {
    async call(call, signal) {
      if (!call.freshConnection) {
        return exchange(call, agent, signal).catch((cause: unknown) => {
          throw classifyHttpError(cause);
        });
      }
      const client = new Client(call.baseUrl, {
        connectTimeout: call.connectTimeoutMs,
        ...outgoing,
      });
      try {
        return await exchange(call, client, signal);
      } catch (cause) {
        throw classifyHttpError(cause);
      } finally {
        await client.destroy();
      }
    },
    close: () => agent.destroy(),
  };
}
