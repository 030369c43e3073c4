import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import { asId } from '@camphorbarrow/core';
import type { EngineAnswer, EngineClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { notifyBeforeSend } from '../http/notifyBeforeSend.js';
import { outgoingFrom } from '../http/outgoingFrom.js';
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

async function* readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<string, void> {
  const ready: string[] = [];
  const parser = createParser({ onEvent: (event) => ready.push(event.data) });
  const decoder = new TextDecoder();
  try {
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, { stream: true }));
      yield* ready.splice(0);
    }
  } catch (cause) {
    throw classifyHttpError(cause);
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
    return { kind: 'stream', events: readEvents(body) };
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
  const agent = new Agent({
    connectTimeout: options.connectTimeoutMs,
    connections: MAX_CONNECTIONS_PER_SERVER,
    ...outgoingFrom(options.localAddress),
  });
  return {
    async start(attempt, signal) {
      try {
        const response = await request(`${attempt.baseUrl}/v1/${attempt.route}`, {
          method: 'POST',
          dispatcher: notifyBeforeSend(agent, attempt.onPossiblyRun),
          signal,
          headersTimeout: attempt.progressTimeoutMs,
          bodyTimeout: attempt.progressTimeoutMs,
          headers: { 'content-type': 'application/json', 'x-request-id': attempt.requestId },
          body: attempt.body,
        });
        return await toAnswer(response);
      } catch (cause) {
        throw classifyHttpError(cause);
      }
    },
    async readLoad(baseUrl, timeoutMs) {
      const url = `${baseUrl}/load`;
      const answer = await requestJson({ url, method: 'GET', timeoutMs, dispatcher: agent });
      const report = loadReportSchema.parse(answer);
      return { ...report, incarnation: asId(report.incarnation) };
    },
    async readCacheEvents(baseUrl, afterSequence, timeoutMs) {
      const url = `${baseUrl}/cache-events?after=${afterSequence}`;
      const answer = await requestJson({ url, method: 'GET', timeoutMs, dispatcher: agent });
      return cacheEventsSchema.parse(answer).events;
    },
    close: () => agent.destroy(),
  };
}
