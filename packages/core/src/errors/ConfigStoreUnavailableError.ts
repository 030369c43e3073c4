import { ConfigChangeError } from './ConfigChangeError.js';

/** The key-value service did not respond, and nothing was written. */
export const ConfigStoreUnavailableError = ConfigChangeError.subclass(
  'ConfigStoreUnavailableError',
  { props: { code: 'store-unavailable' } },
);
