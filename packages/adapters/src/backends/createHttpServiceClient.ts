import { Agent, Client, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { ServiceAnswer, ServiceCall, ServiceClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { limitInterimResponses } from '../http/limitInterimResponses.js';
import { notifyBeforeSend } from '../http/notifyBeforeSend.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { readText } from '../http/readText.js';

export interface HttpServiceClientOptions {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

async function sendCall(
  call: ServiceCall,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<ServiceAnswer> {
  const response = await request(`${call.baseUrl}${call.path}`, {
    method: call.method,
    dispatcher: notifyBeforeSend(limitInterimResponses(dispatcher), call.onBeforeSend),
    // undici's body timeout restarts with every chunk, so without this one a slow response could
    // last forever.
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
    body: await readText(response.body),
  };
}

/** Creates a client that calls plain services over HTTP. */
export function createHttpServiceClient(options: HttpServiceClientOptions): ServiceClient {
  const addressOptions = localAddressOptions(options.localAddress);
  const agent = new Agent({ connectTimeout: options.connectTimeoutMs, ...addressOptions });
  return {
    async call(call, signal) {
      if (!call.freshConnection) {
        return sendCall(call, agent, signal).catch((cause: unknown) => {
          throw classifyHttpError(cause);
        });
      }
      const client = new Client(call.baseUrl, {
        connectTimeout: call.connectTimeoutMs,
        ...addressOptions,
      });
      try {
        return await sendCall(call, client, signal);
      } catch (cause) {
        throw classifyHttpError(cause);
      } finally {
        await client.destroy();
      }
    },
    close: () => agent.destroy(),
  };
}
