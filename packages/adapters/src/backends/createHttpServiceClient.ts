import { withInputTimeout } from '@camphorbarrow/core';
import { Agent, Client, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { ServiceAnswer, ServiceCall, ServiceClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { createStrictConnector } from '../http/createStrictConnector.js';
import { limitInterimResponses } from '../http/limitInterimResponses.js';
import { NO_UNDICI_TIMEOUTS, limitResponsePauses } from '../http/limitResponsePauses.js';
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
  const limited = limitResponsePauses(limitInterimResponses(dispatcher), {
    firstByteTimeoutMs: call.answerTimeoutMs,
  });
  const response = await request(`${call.baseUrl}${call.path}`, {
    method: call.method,
    dispatcher: notifyBeforeSend(limited, call.onBeforeSend),
    signal,
    ...NO_UNDICI_TIMEOUTS,
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

/** Sends a call whose complete response has to arrive in time, not only its head. */
function sendInTime(
  call: ServiceCall,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<ServiceAnswer> {
  return withInputTimeout(call.connectTimeoutMs + call.answerTimeoutMs, (timeoutSignal) =>
    sendCall(call, dispatcher, AbortSignal.any([signal, timeoutSignal])),
  );
}

/** Creates a client that calls plain services over HTTP. */
export function createHttpServiceClient(options: HttpServiceClientOptions): ServiceClient {
  const addressOptions = localAddressOptions(options.localAddress);
  const agent = new Agent({
    connect: createStrictConnector(options.connectTimeoutMs),
    ...addressOptions,
  });
  return {
    async call(call, signal) {
      if (!call.freshConnection) {
        return sendInTime(call, agent, signal).catch((cause: unknown) => {
          throw classifyHttpError(cause);
        });
      }
      const client = new Client(call.baseUrl, {
        connect: createStrictConnector(call.connectTimeoutMs),
        ...addressOptions,
      });
      try {
        return await sendInTime(call, client, signal);
      } catch (cause) {
        throw classifyHttpError(cause);
      } finally {
        await client.destroy();
      }
    },
    close: () => agent.destroy(),
  };
}
