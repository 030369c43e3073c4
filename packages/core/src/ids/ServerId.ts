import type { Brand } from './Brand.js';

/** Name of a backend server, as in the host list. */
export type ServerId = Brand<string, 'ServerId'>;
