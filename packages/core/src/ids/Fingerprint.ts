import type { Brand } from './Brand.js';

/** Keyed hash (HMAC-SHA-256, hex) of data such as a request body. It does not reveal the data. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
