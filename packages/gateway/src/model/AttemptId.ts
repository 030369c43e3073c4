import type { Brand } from '@camphorbarrow/core';

/** Caller-supplied id of one attempt of a request. A retry by the caller has a new id. */
export type AttemptId = Brand<string, 'AttemptId'>;
