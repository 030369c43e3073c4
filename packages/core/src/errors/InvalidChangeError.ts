import { ConfigChangeError } from './ConfigChangeError.js';

/** The change cannot be applied to the current configuration. */
export const InvalidChangeError = ConfigChangeError.subclass('InvalidChangeError', {
  props: { code: 'invalid-change' },
});
