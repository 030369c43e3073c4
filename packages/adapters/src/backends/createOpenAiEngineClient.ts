import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import { ProgressTimeoutError, asId } from '@camphorbarrow/core';
import type { EngineAnswer, EngineClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { createServerPools } from '../http/createServerPools.js';
import { notifyBeforeSend } from '../http/notifyBeforeSend.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { readServerSentEvents } from '../http/readServerSentEvents.js';
import { requestJson } from '../http/requestJson.js';
import { loadReportSchema } from './loadReportSchema.js';

const MAX_CONNECTIONS_PER_SERVER = 1024;

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.int(),
      kind: z.enum(['stored', 'removed', 'cleared']),
      blockHash: z.string().default(''),
    }),
  ),
});

async function* readData(body: AsyncIterable<Buffer>): AsyncGenerator<string, void> {
  for await (const event of readServerSentEvents(body)) {
    yield event.data;
  }
}

function toAnswer(response: Dispatcher.ResponseData): Promise<EngineAnswer> | EngineAnswer {
  const { statusCode, headers, body } = response;
  if (statusCode === 429 || statusCode === 503) {
    const seconds = Number(headers['retry-after']);
    void body.dump().catch(() => undefined);
    return {
      kind: 'refused',
      statusCode,
      retryAfterMs: Number.isFinite(seconds) ? seconds * 1000 : undefined,
    };
  }
  if (String(headers['content-type']).startsWith('text/event-stream')) {
    return { kind: 'stream', events: readData(body) };
  }
  return body.text().then((text) => ({ kind: 'plain', statusCode, body: text }));
}

export interface OpenAiEngineClientOptions {
  /** Limit for making a connection. */
  readonly connectTimeoutMs: number;
  /** Local IP address of outgoing connections; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

/** Model engines with the OpenAI-compatible HTTP interface (docs/platform.md). */
export function createOpenAiEngineClient(options: OpenAiEngineClientOptions): EngineClient {
  const pools = createServerPools({
    connectTimeout: options.connectTimeoutMs,
    connections: MAX_CONNECTIONS_PER_SERVER,
    ...localAddressOptions(options.localAddress),
  });

  /** Maps a failure; after silence, later requests to the server use new connections. */
  function failed(cause: unknown, baseUrl: string, pool: Dispatcher): Error {
    const error = classifyHttpError(cause);
    if (error instanceof ProgressTimeoutError) {
      pools.retirePool(baseUrl, pool);
    }
    return error;
  }

  async function getJson(baseUrl: string, path: string, timeoutMs: number): Promise<unknown> {
    const dispatcher = pools.poolOf(baseUrl);
    const get = { url: `${baseUrl}${path}`, method: 'GET', timeoutMs, dispatcher } as const;
    return requestJson(get).catch((cause: unknown) => {
      throw failed(cause, baseUrl, dispatcher);
    });
  }

  return {
    async start(attempt, signal) {
      const pool = pools.poolOf(attempt.baseUrl);
      try {
        const response = await request(`${attempt.baseUrl}/v1/${attempt.route}`, {
          method: 'POST',
          dispatcher: notifyBeforeSend(pool, attempt.onBeforeSend),
          signal,
          headersTimeout: attempt.firstByteTimeoutMs,
          bodyTimeout: attempt.progressTimeoutMs,
          headers: { 'content-type': 'application/json', 'x-request-id': attempt.requestId },
          body: attempt.body,
        });
        return await toAnswer(response);
      } catch (cause) {
        throw failed(cause, attempt.baseUrl, pool);
      }
    },
    // A silent connection must not make a live server look dead: the second try is a new connection.
    async readLoad(baseUrl, timeoutMs) {
      const tryMs = Math.ceil(timeoutMs / 2);
      const answer = await getJson(baseUrl, '/load', tryMs).catch((error: unknown) => {
        if (error instanceof ProgressTimeoutError) {
          return getJson(baseUrl, '/load', tryMs);
        }
        throw error;
      });
      const report = loadReportSchema.parse(answer);
      return { ...report, incarnation: asId(report.incarnation) };
    },
    async readCacheEvents(baseUrl, afterSequence, timeoutMs) {
      const answer = await getJson(baseUrl, `/cache-events?after=${afterSequence}`, timeoutMs);
      return cacheEventsSchema.parse(answer).events;
    },
    close: () => pools.close(),
  };
}
