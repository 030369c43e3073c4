import { Agent } from 'undici';
import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type { HostList } from '@camphorbarrow/core';
import { outgoingFrom } from '../http/outgoingFrom.js';
import { requestJson } from '../http/requestJson.js';

export interface HttpHostListOptions {
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

const listSchema = z.object({
  hosts: z.array(
    z.object({
      serverId: z.string(),
      kind: z.enum(['engine', 'service']),
      baseUrl: z.url(),
      region: z.string(),
      availabilityZone: z.string(),
      models: z.array(z.string()).default([]),
      serviceName: z.string().optional(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** The platform's host list over HTTP (docs/platform.md). */
export function createHttpHostList(options: HttpHostListOptions): HostList {
  const agent = new Agent({
    connectTimeout: options.timeoutMs,
    ...outgoingFrom(options.localAddress),
  });
  return {
    async read() {
      const answer = await requestJson({
        url: `${options.url}/v1/hosts`,
        method: 'GET',
        timeoutMs: options.timeoutMs,
        dispatcher: agent,
      });
      return listSchema.parse(answer).hosts.map((host) => ({
        serverId: asId(host.serverId),
        kind: host.kind,
        baseUrl: host.baseUrl,
        regionId: asId(host.region),
        availabilityZoneId: asId(host.availabilityZone),
        models: host.models,
        serviceName: host.serviceName,
        state: host.state,
      }));
    },
    close: () => agent.destroy(),
  };
}
