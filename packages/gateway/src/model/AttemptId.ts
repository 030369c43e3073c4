import type { Brand } from '@camphorbarrow/core';

/** Id that a caller gives to one attempt of a request; a caller's retry has another one. */
export type AttemptId = Brand<string, 'AttemptId'>;
