import { RequestError } from '../errors/RequestError.js';
import type { ServiceResult } from './ServiceResult.js';

const OVERLOAD_CODES = new Set(['overloaded', 'deadline-exceeded']);
const NO_SERVER_CODES = new Set(['no-server', 'no-configuration', 'claim-store-unavailable']);
const NEUTRAL_CODES = new Set(['draining', 'loop-detected']);

/** Returns the result as which a rejected or failed request is counted. */
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
  const isExcluded = error.statusCode < 500 || NEUTRAL_CODES.has(error.code);
  return isExcluded ? 'caller' : 'failed';
}
