import { Agent } from 'undici';
import { z } from 'zod';
import type { HostList, HostListEntry, LogSink } from '@camphorbarrow/core';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { requestJson } from '../http/requestJson.js';
import { hostListEntrySchema } from './hostListEntrySchema.js';

export interface HttpHostListOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
  readonly log: LogSink;
}

const listSchema = z.object({ hosts: z.array(z.unknown()) });
/** Other programs choose the length of their entries; a log line stays short. */
const MAX_LOGGED_LENGTH = 200;

/** Creates a client of the platform's host list (docs/platform.md). */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...localAddressOptions(options.localAddress),
  });
  /** Problems of the latest list, which are logged when they appear. */
  let problems = new Set<string>();

  /** Selects the well-formed entries; a malformed one must not hide the other servers. */
  function parseEntries(entries: readonly unknown[]): readonly HostListEntry[] {
    const results = entries.map((entry) => hostListEntrySchema.safeParse(entry));
    const found = new Set(
      results.flatMap(({ error }, index) => {
        const path = error?.issues[0]?.path.join('.');
        return error === undefined ? [] : [`entry ${index}: ${path}`.slice(0, MAX_LOGGED_LENGTH)];
      }),
    );
    [...found]
      .filter((problem) => !problems.has(problem))
      .forEach((problem) => options.log.warn('host-list-entry-ignored', { problem }));
    problems = found;
    return results.flatMap(({ data }) => data ?? []);
  }

  return {
    async read() {
      const response = await requestJson({
        url: `${options.url}/v1/hosts`,
        method: 'GET',
        timeoutMs: options.timeoutMs,
        dispatcher: agent,
      });
      return parseEntries(listSchema.parse(response).hosts);
    },
    close: () => agent.destroy(),
  };
}
