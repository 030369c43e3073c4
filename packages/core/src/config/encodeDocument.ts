import { DocumentTooLargeError } from '../errors/DocumentTooLargeError.js';
import type { StoredFleetDocument } from './FleetDocument.js';

/** Limit of the document's JSON text; the key-value service accepts values of up to 1 MB. */
export const MAX_DOCUMENT_BYTES = 1_000_000;

/**
 * Serializes a document for the store.
 *
 * @throws DocumentTooLargeError when the text exceeds `MAX_DOCUMENT_BYTES`
 */
export function encodeDocument(document: StoredFleetDocument): string {
  const text = JSON.stringify(document);
  const sizeBytes = new TextEncoder().encode(text).length;
  if (sizeBytes > MAX_DOCUMENT_BYTES) {
    throw new DocumentTooLargeError(
      `The configuration would be ${sizeBytes} bytes; at most ${MAX_DOCUMENT_BYTES} are allowed.`,
      { props: { sizeBytes, maxBytes: MAX_DOCUMENT_BYTES } },
    );
  }
  return text;
}
