import { Agent, request } from 'undici';
import { z } from 'zod';
import { ProgressTimeoutError, StoreUnavailableError, asId } from '@camphorbarrow/core';
import type { KeyValue, KeyValueStore, LeaseId, WatchEvent } from '@camphorbarrow/core';
import { limitResponsePauses } from '../http/limitResponsePauses.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { requestJson } from '../http/requestJson.js';
import { readJsonLines } from './readJsonLines.js';

export interface EtcdKeyValueStoreOptions {
  /** Base URL of the service, with an IP address as its host. */
  readonly url: string;
  readonly timeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

const base64 = (text: string): string => Buffer.from(text, 'utf8').toString('base64');
const fromBase64 = (text: string): string => Buffer.from(text, 'base64').toString('utf8');

const keyValueSchema = z.looseObject({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: z.coerce.number().default(0),
});
const rangeSchema = z.looseObject({ kvs: z.array(keyValueSchema).default([]) });
const txnSchema = z.looseObject({
  header: z.looseObject({ revision: z.coerce.number() }),
  succeeded: z.boolean().default(false),
  responses: z.array(z.looseObject({ response_range: rangeSchema.optional() })).default([]),
});
const leaseSchema = z.looseObject({ ID: z.string() });
const keepAliveSchema = z.looseObject({
  result: z.looseObject({ TTL: z.coerce.number().default(0) }),
});
const watchSchema = z.looseObject({
  result: z
    .looseObject({
      events: z
        .array(z.looseObject({ type: z.string().default('PUT'), kv: keyValueSchema }))
        .default([]),
    })
    .optional(),
});

type RawKeyValue = z.infer<typeof keyValueSchema>;

function toKeyValue(raw: RawKeyValue): KeyValue {
  return { key: fromBase64(raw.key), value: fromBase64(raw.value), modRevision: raw.mod_revision };
}

/** First key after all keys with the prefix. */
function rangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  bytes[bytes.length - 1] = (bytes.at(-1) ?? 0) + 1;
  return bytes.toString('base64');
}

/** Creates a client for a key-value service with the JSON form of the etcd v3 interface. */
export function createEtcdKeyValueStore(options: EtcdKeyValueStoreOptions): KeyValueStore {
  const createAgent = (): Agent =>
    new Agent({
      connectTimeout: options.timeoutMs,
      bodyTimeout: 0,
      headersTimeout: 0,
      ...localAddressOptions(options.localAddress),
    });
  const agents = new Set<Agent>();
  let agent = createAgent();

  /** Retires an agent: its open calls continue, and later calls use new connections. */
  function replaceAgent(old: Agent): void {
    if (old === agent) {
      agent = createAgent();
      agents.add(old);
      void old
        .close()
        .catch(() => undefined)
        .finally(() => agents.delete(old));
    }
  }

  async function call<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    const usedAgent = agent;
    try {
      const response = await requestJson({
        url: `${options.url}${path}`,
        method: 'POST',
        body,
        timeoutMs: options.timeoutMs,
        dispatcher: usedAgent,
      });
      return schema.parse(response);
    } catch (cause) {
      if (cause instanceof ProgressTimeoutError) {
        // When one connection stops responding, the idle ones usually have stopped as well.
        replaceAgent(usedAgent);
      }
      throw new StoreUnavailableError('The call to the key-value service failed.', { cause });
    }
  }

  async function* watch(prefix: string, signal: AbortSignal): AsyncGenerator<WatchEvent, void> {
    const usedAgent = agent;
    try {
      const response = await request(`${options.url}/v3/watch`, {
        method: 'POST',
        // The service confirms a watch immediately, so a missing confirmation means that the
        // connection is unresponsive.
        dispatcher: limitResponsePauses(usedAgent, { firstByteTimeoutMs: options.timeoutMs }),
        signal,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          create_request: {
            key: base64(prefix),
            range_end: rangeEnd(prefix),
            progress_notify: true,
          },
        }),
      });
      for await (const line of readJsonLines(response.body)) {
        const events = watchSchema.parse(line).result?.events ?? [];
        for (const { type, kv } of events) {
          yield { kind: type === 'DELETE' ? 'delete' : 'put', ...toKeyValue(kv) };
        }
      }
    } catch (cause) {
      if (!signal.aborted) {
        replaceAgent(usedAgent);
        throw new StoreUnavailableError('The watch was interrupted.', { cause });
      }
    }
  }

  return {
    async get(key, { keyOnly = false } = {}) {
      const body = { key: base64(key), keys_only: keyOnly };
      const { kvs } = await call('/v3/kv/range', body, rangeSchema);
      return kvs[0] === undefined ? undefined : toKeyValue(kvs[0]);
    },
    async list(prefix) {
      const body = { key: base64(prefix), range_end: rangeEnd(prefix) };
      const { kvs } = await call('/v3/kv/range', body, rangeSchema);
      return kvs.map(toKeyValue);
    },
    async compareAndSwap({ key, expectedRevision, value, leaseId }) {
      const put = { key: base64(key), value: base64(value), lease: leaseId ?? '0' };
      const response = await call(
        '/v3/kv/txn',
        {
          compare: [
            {
              key: base64(key),
              target: 'MOD',
              result: 'EQUAL',
              mod_revision: String(expectedRevision),
            },
          ],
          success: [{ request_put: put }],
          failure: [{ request_range: { key: base64(key) } }],
        },
        txnSchema,
      );
      if (response.succeeded) {
        return { swapped: true, modRevision: response.header.revision };
      }
      const current = response.responses[0]?.response_range?.kvs[0];
      return {
        swapped: false,
        current: current === undefined ? undefined : toKeyValue(current),
      };
    },
    async delete(key) {
      await call('/v3/kv/deleterange', { key: base64(key) }, z.unknown());
    },
    async grantLease(ttlSeconds) {
      const response = await call('/v3/lease/grant', { TTL: String(ttlSeconds) }, leaseSchema);
      return asId<LeaseId>(response.ID);
    },
    async keepAlive(leaseId) {
      const response = await call('/v3/lease/keepalive', { ID: leaseId }, keepAliveSchema);
      return response.result.TTL;
    },
    async revokeLease(leaseId) {
      await call('/v3/lease/revoke', { ID: leaseId }, z.unknown());
    },
    watch,
    async close() {
      await Promise.all([...agents, agent].map((openAgent) => openAgent.destroy()));
    },
  };
}
