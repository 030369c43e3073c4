import { fingerprintOf } from '@camphorbarrow/core';
import type { Fingerprint } from '@camphorbarrow/core';

/** Not a secret: entry hosts compare fingerprints with each other and share no secret. */
const FINGERPRINT_KEY = 'request';

/** Creates a function that hashes a request on its first call and caches the result. */
export function createFingerprint(method: string, target: string, body: Buffer): () => Fingerprint {
  let fingerprint: Fingerprint | undefined;
  return () => {
    fingerprint ??= fingerprintOf(FINGERPRINT_KEY, method, target, body.toString('latin1'));
    return fingerprint;
  };
}
