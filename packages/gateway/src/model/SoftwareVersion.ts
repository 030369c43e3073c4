import type { Brand } from '@camphorbarrow/core';

/** Version of a backend server's software. The text has no order. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;
