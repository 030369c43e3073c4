import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { CallPlan } from './CallPlan.js';

interface PermitResponse {
  readonly permits?: readonly (string | { readonly key: string })[];
}

/** Requests one order permit from an entry host; resolves to undefined when it issues none. */
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
    const body = (await response.body.json()) as PermitResponse;
    const permit = body.permits?.[0];
    return typeof permit === 'object' ? permit.key : permit;
  } catch {
    return undefined;
  }
}
