import type { Brand } from './Brand.js';

/** Name of an entry host, unique in the deployment. */
export type HostId = Brand<string, 'HostId'>;
