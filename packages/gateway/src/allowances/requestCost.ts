import type { Allowance } from '../model/Customer.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';

/** What a request counts against an allowance, in its unit. */
export function requestCost(
  { unit, plainTokens }: Allowance,
  { promptTokens, maxOutputTokens }: Pick<RequestMetadata, 'promptTokens' | 'maxOutputTokens'>,
): number {
  if (unit === 'requests') {
    return 1;
  }
  const tokens = promptTokens + maxOutputTokens;
  return tokens > 0 ? tokens : plainTokens;
}
