import { InvalidHeaderError } from '../errors/InvalidHeaderError.js';
import type { Headers } from './Headers.js';

/**
 * Value of a header that may occur at most once.
 *
 * @throws InvalidHeaderError when the header occurs more than once or is empty.
 */
export function singleHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  if (value === undefined) {
    return undefined;
  }
  if (typeof value !== 'string') {
    throw new InvalidHeaderError(`Header ${name} occurs more than once.`);
  }
  if (value.trim() === '') {
    throw new InvalidHeaderError(`Header ${name} is empty.`);
  }
  return value.trim();
}
