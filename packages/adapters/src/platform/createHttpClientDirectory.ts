import { Agent } from 'undici';
import type { ClientDirectory } from '@camphorbarrow/core';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { requestJson } from '../http/requestJson.js';

export interface HttpClientDirectoryOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

/** Creates a client of the platform's client directory (docs/platform.md). */
export function createHttpClientDirectory(options: HttpClientDirectoryOptions): ClientDirectory {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });
  return {
    async publish({ regionId, entryHostUrls, validForMs }) {
      await requestJson({
        url: `${options.url}/v1/directory/${encodeURIComponent(regionId)}`,
        method: 'PUT',
        body: { entryHostUrls, validForMs },
        timeoutMs: options.timeoutMs,
        dispatcher: agent,
      });
    },
    close: () => agent.destroy(),
  };
}
