import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { CallPlan } from './CallPlan.js';

interface PermitAnswer {
  readonly permits?: readonly (string | { readonly key: string })[];
}

/** Asks an entry host for one order permit; undefined when it gives none. */
export async function requestPermit(
  plan: CallPlan,
  url: string,
  dispatcher: Dispatcher,
): Promise<string | undefined> {
  try {
    const response = await request(`${url}/v1/order-permits`, {
      method: 'POST',
      dispatcher,
      headers: { ...plan.headers, 'content-type': 'application/json' },
      body: JSON.stringify({ count: 1 }),
      signal: AbortSignal.timeout(plan.timeoutMs),
    });
    const answer = (await response.body.json()) as PermitAnswer;
    const permit = answer.permits?.[0];
    return typeof permit === 'object' ? permit.key : permit;
  } catch {
    return undefined;
  }
}
