import { createHmac } from 'node:crypto';
import type { Fingerprint } from '../ids/Fingerprint.js';
import { asId } from '../ids/asId.js';

/** Keyed hash of a text, sent to peers and the store in place of the text. */
export function fingerprintOf(recordKey: string, ...parts: readonly string[]): Fingerprint {
  const hmac = createHmac('sha256', recordKey);
  parts.forEach((part) => hmac.update(`${part.length}:`).update(part));
  return asId<Fingerprint>(hmac.digest('hex'));
}
