import { ConfigChangeError } from './ConfigChangeError.js';

/** The change does not fit the configuration it applies to. */
export const InvalidChangeError = ConfigChangeError.subclass('InvalidChangeError', {
  props: { code: 'invalid-change' },
});
