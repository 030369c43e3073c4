import type { Brand } from '@camphorbarrow/core';

/** Name of a service of backend servers, as used in the routing table. */
export type ServiceName = Brand<string, 'ServiceName'>;
