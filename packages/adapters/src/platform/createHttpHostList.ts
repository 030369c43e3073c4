import { Agent } from 'undici';
import { z } from 'zod';
import type { HostList } from '@camphorbarrow/core';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { requestJson } from '../http/requestJson.js';
import { hostListEntrySchema } from './hostListEntrySchema.js';

export interface HttpHostListOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

const listSchema = z.object({ hosts: z.array(hostListEntrySchema) });

/** Creates a client of the platform's host list (docs/platform.md). */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });
  return {
    async read() {
      const response = await requestJson({
        url: `${options.url}/v1/hosts`,
        method: 'GET',
        timeoutMs: options.timeoutMs,
        dispatcher: agent,
      });
      return listSchema.parse(response).hosts;
    },
    close: () => agent.destroy(),
  };
}
