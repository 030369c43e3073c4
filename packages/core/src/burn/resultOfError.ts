import { RequestError } from '../errors/RequestError.js';
import type { ServiceResult } from './ServiceResult.js';

const OVERLOAD_CODES = new Set(['overloaded', 'deadline-exceeded']);
const NO_SERVER_CODES = new Set(['no-server', 'no-configuration', 'claim-store-unavailable']);
const OWN_REFUSALS = new Set(['draining', 'loop-detected']);

/** How a refused or failed request counts towards its objective. */
export function resultOfError(error: unknown): ServiceResult {
  if (!(error instanceof RequestError)) {
    return 'failed';
  }
  if (OVERLOAD_CODES.has(error.code)) {
    return 'refused-overload';
  }
  if (NO_SERVER_CODES.has(error.code)) {
    return 'refused-no-server';
  }
  if (error.code === 'outcome-unknown') {
    return 'outcome-unknown';
  }
  const isCallers = error.statusCode < 500 || OWN_REFUSALS.has(error.code);
  return isCallers ? 'caller' : 'failed';
}
