import { Agent, Client, request } from 'undici';
import { z } from 'zod';
import { FencedOffError, PlatformError, withInputTimeout } from '@camphorbarrow/core';
import type { EngineOrderCall, EngineOrderClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { notifyBeforeSend } from '../http/notifyBeforeSend.js';
import { requestJson } from '../http/requestJson.js';

export interface HttpEngineOrderClientOptions {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

const HTTP_CONFLICT = 409;
const stateSchema = z.object({
  weightsByModel: z.record(z.string(), z.string()),
  maxModels: z.int().min(0),
});

async function post(call: EngineOrderCall, client: Client, signal: AbortSignal): Promise<void> {
  const response = await request(`${call.baseUrl}/engine-orders`, {
    method: 'POST',
    dispatcher: notifyBeforeSend(client, call.onBeforeSend),
    signal,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ ...call.order, fencingToken: call.fencingToken }),
  });
  await response.body.dump();
  if (response.statusCode === HTTP_CONFLICT) {
    throw new FencedOffError('The engine has accepted an order from a newer owner.');
  }
  if (response.statusCode !== 200) {
    throw new PlatformError(`The engine rejected the order with status ${response.statusCode}.`);
  }
}

/** Creates a client that sends each order to an engine on a new connection (docs/platform.md). */
export function createHttpEngineOrderClient(
  options: HttpEngineOrderClientOptions,
): EngineOrderClient {
  const agent = new Agent({
    connectTimeout: options.connectTimeoutMs,
    ...localAddressOptions(options.localAddress),
  });
  return {
    async readState(baseUrl, timeoutMs) {
      const url = `${baseUrl}/engine-orders/state`;
      const state = await requestJson({ url, method: 'GET', timeoutMs, dispatcher: agent });
      return stateSchema.parse(state);
    },
    async send(call) {
      const client = new Client(call.baseUrl, {
        connectTimeout: options.connectTimeoutMs,
        ...localAddressOptions(options.localAddress),
      });
      try {
        await withInputTimeout(call.timeoutMs, (signal) => post(call, client, signal));
      } catch (cause) {
        throw classifyHttpError(cause);
      } finally {
        await client.destroy();
      }
    },
    close: () => agent.destroy(),
  };
}
