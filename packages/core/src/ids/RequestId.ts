import type { Brand } from './Brand.js';

/** Id of one caller request, created by the entry host that received it. */
export type RequestId = Brand<string, 'RequestId'>;
