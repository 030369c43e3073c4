import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import { ProgressTimeoutError, asId, startInputTimeout } from '@camphorbarrow/core';
import type { EngineAnswer, EngineClient, InputTimeout } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { createServerPools } from '../http/createServerPools.js';
import { createStrictConnector } from '../http/createStrictConnector.js';
import { limitInterimResponses } from '../http/limitInterimResponses.js';
import { NO_UNDICI_TIMEOUTS, limitResponsePauses } from '../http/limitResponsePauses.js';
import { notifyBeforeSend } from '../http/notifyBeforeSend.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { readServerSentEvents } from '../http/readServerSentEvents.js';
import { readText } from '../http/readText.js';
import { requestJson } from '../http/requestJson.js';
import { loadReportSchema } from './loadReportSchema.js';

const MAX_CONNECTIONS_PER_SERVER = 1024;
const MAX_DISCARDED_BYTES = 131_072;
const MAX_DISCARD_MS = 1_000;

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.int(),
      kind: z.enum(['stored', 'removed', 'cleared']),
      blockHash: z.string().default(''),
    }),
  ),
});

/** Yields the data of the events. Comments do not end a pause between two events. */
async function* readData(
  body: Dispatcher.ResponseData['body'],
  progressTimeoutMs: number,
): AsyncGenerator<string, void> {
  let timeout: InputTimeout | undefined;
  try {
    for await (const event of readServerSentEvents(body)) {
      timeout?.close();
      yield event.data;
      timeout = startInputTimeout(progressTimeoutMs, () =>
        body.destroy(new ProgressTimeoutError('No event arrived in time.')),
      );
    }
  } finally {
    timeout?.close();
  }
}

function toEngineAnswer(
  response: Dispatcher.ResponseData,
  progressTimeoutMs: number,
): Promise<EngineAnswer> | EngineAnswer {
  const { statusCode, headers, body } = response;
  if (statusCode === 429 || statusCode === 503) {
    const seconds = Number(headers['retry-after']);
    // Nobody waits for this body; a long or slow one is cut off with its connection.
    void body
      .dump({ limit: MAX_DISCARDED_BYTES, signal: AbortSignal.timeout(MAX_DISCARD_MS) })
      .catch(() => undefined);
    return {
      kind: 'refused',
      statusCode,
      retryAfterMs: Number.isFinite(seconds) ? seconds * 1000 : undefined,
    };
  }
  if (String(headers['content-type']).startsWith('text/event-stream')) {
    return { kind: 'stream', events: readData(body, progressTimeoutMs) };
  }
  return readText(body).then((text) => ({ kind: 'plain', statusCode, body: text }));
}

export interface OpenAiEngineClientOptions {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs: number;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
  readonly localAddress?: string | undefined;
}

/** Creates a client of model engines with the OpenAI-compatible HTTP API (docs/platform.md). */
export function createOpenAiEngineClient(options: OpenAiEngineClientOptions): EngineClient {
  const pools = createServerPools({
    connect: createStrictConnector(options.connectTimeoutMs),
    connections: MAX_CONNECTIONS_PER_SERVER,
    ...localAddressOptions(options.localAddress),
  });

  /** Classifies a failure; after a timeout, later requests to the server use new connections. */
  function classifyFailure(cause: unknown, baseUrl: string, pool: Dispatcher): Error {
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
      throw classifyFailure(cause, baseUrl, dispatcher);
    });
  }

  return {
    async start(attempt, signal) {
      const pool = pools.poolOf(attempt.baseUrl);
      const limited = limitResponsePauses(limitInterimResponses(pool), {
        ...attempt,
        mayTimeOut() {
          pools.retirePool(attempt.baseUrl, pool);
          return attempt.mayTimeOut?.() ?? true;
        },
      });
      try {
        const response = await request(`${attempt.baseUrl}/v1/${attempt.route}`, {
          method: 'POST',
          dispatcher: notifyBeforeSend(limited, attempt.onBeforeSend),
          signal,
          ...NO_UNDICI_TIMEOUTS,
          headers: { 'content-type': 'application/json', 'x-request-id': attempt.requestId },
          body: attempt.body,
        });
        return await toEngineAnswer(response, attempt.progressTimeoutMs);
      } catch (cause) {
        throw classifyFailure(cause, attempt.baseUrl, pool);
      }
    },
    // The second attempt uses a new connection, so that one unresponsive connection does not make a
    // live server look dead.
    async readLoad(baseUrl, timeoutMs) {
      const attemptTimeoutMs = Math.ceil(timeoutMs / 2);
      const body = await getJson(baseUrl, '/load', attemptTimeoutMs).catch((error: unknown) => {
        if (error instanceof ProgressTimeoutError) {
          return getJson(baseUrl, '/load', attemptTimeoutMs);
        }
        throw error;
      });
      const report = loadReportSchema.parse(body);
      return { ...report, incarnation: asId(report.incarnation) };
    },
    async readCacheEvents(baseUrl, afterSequence, timeoutMs) {
      const body = await getJson(baseUrl, `/cache-events?after=${afterSequence}`, timeoutMs);
      return cacheEventsSchema.parse(body).events;
    },
    close: () => pools.close(),
  };
}
