import { ConfigChangeError } from './ConfigChangeError.js';

/** The changed document would exceed the key-value service's bound of a value. */
export const DocumentTooLargeError = ConfigChangeError.subclass('DocumentTooLargeError', {
  props: { code: 'document-too-large', sizeBytes: 0, maxBytes: 0 },
});
