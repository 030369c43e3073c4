import { Agent, request } from 'undici';
import { PlatformError, withInputTimeout } from '@camphorbarrow/core';
import type { WeightStore } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { localAddressOptions } from '../http/localAddressOptions.js';

export interface HttpWeightStoreOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

const HTTP_TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1000;
const DEFAULT_WAIT_MS = 1_000;

/** Creates a client of the platform's weight store (docs/platform.md). */
export function createHttpWeightStore(options: HttpWeightStoreOptions): WeightStore {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });

  async function reserve(weights: string, signal: AbortSignal): Promise<number> {
    const url = `${options.url}/v1/weights/${encodeURIComponent(weights)}`;
    const response = await request(url, { dispatcher: agent, signal });
    await response.body.dump();
    if (response.statusCode === HTTP_TOO_MANY_REQUESTS) {
      const seconds = Number(response.headers['retry-after']);
      return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : DEFAULT_WAIT_MS;
    }
    if (response.statusCode !== 200) {
      throw new PlatformError(`The weight store responded with status ${response.statusCode}.`);
    }
    return 0;
  }

  return {
    async reserveDownload(weights) {
      try {
        return await withInputTimeout(options.timeoutMs, (signal) => reserve(weights, signal));
      } catch (cause) {
        throw classifyHttpError(cause);
      }
    },
    close: () => agent.destroy(),
  };
}
