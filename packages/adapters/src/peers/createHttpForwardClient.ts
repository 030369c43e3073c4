import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import type { EventSourceMessage } from 'eventsource-parser';
import { AttemptBrokenError, RequestError, headerNames } from '@camphorbarrow/core';
import type { ForwardAnswer, ForwardAttempt, ForwardClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { parseErrorResponse } from './parseErrorResponse.js';
import { readServerSentEvents } from '../http/readServerSentEvents.js';

export interface HttpForwardClientOptions {
  readonly peerKey: string;
  /** Local IP address of outgoing connections; the system chooses when absent. */
  readonly localAddress?: string | undefined;
}

const MAX_DEADLINE_MS = 3_600_000;
const BAD_GATEWAY = 502;

function headersOf(attempt: ForwardAttempt, peerKey: string): Record<string, string> {
  return {
    'content-type': 'application/json',
    accept: attempt.streamed ? 'text/event-stream' : 'application/json',
    [headerNames.authorization]: `Bearer ${peerKey}`,
    [headerNames.path]: attempt.path.join(','),
    [headerNames.customer]: attempt.customerId,
    [headerNames.targetRegion]: attempt.regionId,
    [headerNames.requestId]: attempt.requestId,
    [headerNames.rank]: attempt.rank,
    [headerNames.deadline]: String(Math.min(MAX_DEADLINE_MS, attempt.remainingMs)),
  };
}

function send(
  client: Client,
  attempt: ForwardAttempt,
  peerKey: string,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  const { remainingMs, progressTimeoutMs, streamed } = attempt;
  // Without a stream the peer is silent until the whole answer exists.
  const silenceMs = streamed ? Math.min(progressTimeoutMs, remainingMs) : remainingMs;
  return client.request({
    path: `/forward/${attempt.route}`,
    method: 'POST',
    signal,
    headersTimeout: silenceMs,
    bodyTimeout: silenceMs,
    headers: headersOf(attempt, peerKey),
    body: attempt.body,
  });
}

/** Data of the events; an error event of the peer is thrown, so that it never passes for data. */
async function* dataOf(
  first: EventSourceMessage,
  rest: AsyncGenerator<EventSourceMessage, void>,
  onEnd: () => Promise<void>,
): AsyncGenerator<string, void> {
  try {
    yield first.data;
    for await (const event of rest) {
      if (event.event === 'error') {
        const { message, ...refusal } = parseErrorResponse(BAD_GATEWAY, event.data);
        const { code, outcome, statusCode, retryAfterMs, details } = refusal;
        throw new RequestError(message, {
          props: { code, outcome, statusCode, retryAfterMs, details },
        });
      }
      yield event.data;
    }
  } finally {
    await onEnd();
  }
}

async function toAnswer(
  response: Dispatcher.ResponseData,
  onEnd: () => Promise<void>,
): Promise<ForwardAnswer> {
  const { statusCode, headers, body } = response;
  if (headers[headerNames.refusal] !== undefined) {
    return parseErrorResponse(statusCode, await body.text());
  }
  if (headers[headerNames.servedBy] === undefined) {
    throw new AttemptBrokenError('The address did not answer as an entry host.');
  }
  if (!String(headers['content-type']).startsWith('text/event-stream')) {
    return { kind: 'plain', statusCode, body: await body.text() };
  }
  const events = readServerSentEvents(body);
  const first = await events.next();
  if (first.done === true) {
    throw new AttemptBrokenError('The forwarded stream ended before its first event.');
  }
  return first.value.event === 'error'
    ? parseErrorResponse(BAD_GATEWAY, first.value.data)
    : { kind: 'stream', events: dataOf(first.value, events, onEnd) };
}

/**
 * Forwards requests over plain HTTP. Every forward uses a new connection: a pooled one that went
 * silent in a partition would only be noticed after the progress timeout.
 */
export function createHttpForwardClient(options: HttpForwardClientOptions): ForwardClient {
  const clients = new Set<Client>();

  return {
    async start(attempt, signal) {
      const client = new Client(attempt.peerUrl, {
        connectTimeout: attempt.connectTimeoutMs,
        ...localAddressOptions(options.localAddress),
      });
      clients.add(client);
      const end = async (): Promise<void> => {
        clients.delete(client);
        await client.destroy();
      };
      let streaming = false;
      try {
        const answer = await toAnswer(await send(client, attempt, options.peerKey, signal), end);
        streaming = answer.kind === 'stream';
        return answer;
      } catch (cause) {
        throw classifyHttpError(cause);
      } finally {
        if (!streaming) {
          await end();
        }
      }
    },
    async close() {
      await Promise.all([...clients].map((client) => client.destroy()));
    },
  };
}
