import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AttemptResult } from './AttemptResult.js';
import type { CallPlan } from './CallPlan.js';
import { parseTypedError } from './parseTypedError.js';
import { classifyFailure } from './classifyFailure.js';

/** Sends one attempt of an order or a status check to one entry host. Never rejects. */
export async function sendService(
  plan: CallPlan,
  host: string,
  url: string,
  dispatcher: Dispatcher,
  key: string | undefined,
): Promise<AttemptResult> {
  const startedMs = performance.now();
  const isOrder = plan.kind === 'order';
  const orders = `${url}/v1/services/orders/orders`;
  const { order, marker } = plan;
  try {
    const response = await request(isOrder ? orders : `${orders}/${order}`, {
      method: isOrder ? 'POST' : 'GET',
      dispatcher,
      headers: {
        ...plan.headers,
        ...(isOrder ? { 'content-type': 'application/json' } : {}),
        ...(key === undefined ? {} : { 'idempotency-key': key }),
      },
      body: isOrder ? JSON.stringify({ order, ...(marker === undefined ? {} : { marker }) }) : null,
      signal: AbortSignal.timeout(plan.timeoutMs),
    });
    const { statusCode } = response;
    const firstByteMs = performance.now() - startedMs;
    const text = await response.body.text();
    const totalMs = performance.now() - startedMs;
    if (statusCode !== 200) {
      return { ...parseTypedError(text), host, statusCode, firstByteMs, totalMs };
    }
    const confirmation = JSON.parse(text) as { order: string };
    return { label: 'complete', host, statusCode, text: confirmation.order, firstByteMs, totalMs };
  } catch (error) {
    return { label: classifyFailure(error), host, totalMs: performance.now() - startedMs };
  }
}
