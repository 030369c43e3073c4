import type { Brand } from './Brand.js';

/** Brands a string that has been validated by a schema or created by this process. */
export function asId<Id extends Brand<string, string>>(value: string): Id {
  return value as Id;
}
