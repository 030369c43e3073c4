import type { Brand } from './Brand.js';

/** Keyed hash (HMAC-SHA-256, hex) of a request body. The body cannot be derived from it. */
export type Fingerprint = Brand<string, 'Fingerprint'>;
