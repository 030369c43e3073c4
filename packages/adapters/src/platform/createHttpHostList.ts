import { Agent } from 'undici';
import { z } from 'zod';
import type { HostList } from '@camphorbarrow/core';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { requestJson } from '../http/requestJson.js';
import { hostListEntrySchema } from './hostListEntrySchema.js';

export interface HttpHostListOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

const listSchema = z.object({ hosts: z.array(hostListEntrySchema) });

/** The platform's host list over HTTP (docs/platform.md). */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });
  return {
    async read() {
      const answer = await requestJson({
        url: `${options.url}/v1/hosts`,
        method: 'GET',
        timeoutMs: options.timeoutMs,
        dispatcher: agent,
      });
      return listSchema.parse(answer).hosts;
    },
    close: () => agent.destroy(),
  };
}
