import { ConfigChangeError } from './ConfigChangeError.js';

/** The key-value service did not answer before anything was written. */
export const ConfigStoreUnavailableError = ConfigChangeError.subclass(
  'ConfigStoreUnavailableError',
  { props: { code: 'store-unavailable' } },
);
