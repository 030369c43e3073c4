import type { Brand } from './Brand.js';

/** Random id of one process lifetime. A restarted process has another one. */
export type Incarnation = Brand<string, 'Incarnation'>;
