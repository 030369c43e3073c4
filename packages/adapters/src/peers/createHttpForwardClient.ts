import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import type { EventSourceMessage } from 'eventsource-parser';
import { AttemptBrokenError, RequestError, headerNames } from '@camphorbarrow/core';
import type { ForwardAnswer, ForwardAttempt, ForwardClient } from '@camphorbarrow/core';
import { classifyHttpError } from '../http/classifyHttpError.js';
import { NO_UNDICI_TIMEOUTS, limitResponsePauses } from '../http/limitResponsePauses.js';
import { localAddressOptions } from '../http/localAddressOptions.js';
import { parseErrorResponse } from './parseErrorResponse.js';
import { readText } from '../http/readText.js';
import { readServerSentEvents } from '../http/readServerSentEvents.js';

export interface HttpForwardClientOptions {
  readonly peerKey: string;
  /** Local IP address of outgoing connections. @default chosen by the operating system */
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
  // Without a stream the peer sends nothing until the response is complete.
  const timeoutMs = streamed ? Math.min(progressTimeoutMs, remainingMs) : remainingMs;
  const limits = { firstByteTimeoutMs: timeoutMs, progressTimeoutMs: timeoutMs };
  return limitResponsePauses(client, limits).request({
    path: `/forward/${attempt.route}`,
    method: 'POST',
    signal,
    ...NO_UNDICI_TIMEOUTS,
    headers: headersOf(attempt, peerKey),
    body: attempt.body,
  });
}

/** Yields the data of the events; throws an error event of the peer instead of yielding it. */
async function* dataOf(
  first: EventSourceMessage,
  rest: AsyncGenerator<EventSourceMessage, void>,
  onEnd: () => Promise<void>,
): AsyncGenerator<string, void> {
  try {
    yield first.data;
    for await (const event of rest) {
      if (event.event === 'error') {
        const { message, ...error } = parseErrorResponse(BAD_GATEWAY, event.data);
        const { code, outcome, statusCode, retryAfterMs, details } = error;
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

async function toForwardAnswer(
  response: Dispatcher.ResponseData,
  onEnd: () => Promise<void>,
): Promise<ForwardAnswer> {
  const { statusCode, headers, body } = response;
  if (headers[headerNames.refusal] !== undefined) {
    return parseErrorResponse(statusCode, await readText(body));
  }
  if (headers[headerNames.servedBy] === undefined) {
    throw new AttemptBrokenError('The response does not come from an entry host.');
  }
  if (!String(headers['content-type']).startsWith('text/event-stream')) {
    return { kind: 'plain', statusCode, body: await readText(body) };
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
 * Creates a client that forwards requests over plain HTTP. Every forward uses a new connection,
 * because a pooled one that a network partition cut off would be detected only after the progress
 * timeout.
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
        const response = await toForwardAnswer(
          await send(client, attempt, options.peerKey, signal),
          end,
        );
        streaming = response.kind === 'stream';
        return response;
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
