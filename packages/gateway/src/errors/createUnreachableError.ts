import { NoServerError, createRejections } from '@camphorbarrow/core';

/** Creates the rejection by a host that reaches none of the live servers of its region. */
export const createUnreachableError = createRejections(
  () =>
    new NoServerError('This entry host reaches no server.', {
      props: { code: 'servers-unreachable' },
    }),
);
