import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { PlatformError, withInputTimeout } from '@camphorbarrow/core';
import { classifyHttpError } from './classifyHttpError.js';
import { limitInterimResponses } from './limitInterimResponses.js';
import { readText } from './readText.js';

export interface JsonRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly dispatcher: Dispatcher;
  readonly headers?: Readonly<Record<string, string>>;
}

async function exchange(options: JsonRequest, signal: AbortSignal): Promise<unknown> {
  const response = await request(options.url, {
    method: options.method,
    dispatcher: limitInterimResponses(options.dispatcher),
    signal,
    headers: {
      ...options.headers,
      ...(options.body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    body: options.body === undefined ? null : JSON.stringify(options.body),
  });
  const text = await readText(response.body);
  if (response.statusCode < 200 || response.statusCode > 299) {
    throw new PlatformError(
      `The ${options.method} request failed with status ${response.statusCode}.`,
    );
  }
  return text === '' ? undefined : JSON.parse(text);
}

/**
 * Exchanges JSON with a platform service or a backend server.
 *
 * @throws ConnectFailedError, AttemptBrokenError, ProgressTimeoutError, or PlatformError for a
 * status other than 2xx
 */
export async function requestJson(options: JsonRequest): Promise<unknown> {
  try {
    return await withInputTimeout(options.timeoutMs, (signal) => exchange(options, signal));
  } catch (cause) {
    throw classifyHttpError(cause);
  }
}
