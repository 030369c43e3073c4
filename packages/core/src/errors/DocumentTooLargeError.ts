import { ConfigChangeError } from './ConfigChangeError.js';

/** The changed document would exceed the maximum size of a value in the key-value service. */
export const DocumentTooLargeError = ConfigChangeError.subclass('DocumentTooLargeError', {
  props: { code: 'document-too-large', sizeBytes: 0, maxBytes: 0 },
});
