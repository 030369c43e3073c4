import type { RequestError } from './RequestError.js';

/** What differs from one rejection to the next. */
export type RejectionFields = Partial<Pick<RequestError, 'message' | 'retryAfterMs' | 'details'>>;

/**
 * Returns a function that creates errors of expected rejections. Under overload most requests are
 * rejected, and a new error takes longer than all other work for such a request: most of it is for its
 * stack, which nobody reads. These errors inherit from one that is created at the first rejection,
 * along with its stack.
 */
export function createRejections(
  createFirst: () => RequestError,
): (fields?: RejectionFields) => RequestError {
  let first: RequestError | undefined;
  return (fields = {}) => {
    first ??= createFirst();
    return Object.assign(Object.create(first) as RequestError, fields);
  };
}
