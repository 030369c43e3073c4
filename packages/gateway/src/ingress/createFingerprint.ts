import { fingerprintOf } from '@camphorbarrow/core';
import type { Fingerprint } from '@camphorbarrow/core';

/** Entry hosts compare fingerprints; they share no secret, so the key is a plain name. */
const RECORD_KEY = 'request';

/** Creates the function that hashes a request once, when it is first called. */
export function createFingerprint(method: string, target: string, body: Buffer): () => Fingerprint {
  let fingerprint: Fingerprint | undefined;
  return () => {
    fingerprint ??= fingerprintOf(RECORD_KEY, method, target, body.toString('latin1'));
    return fingerprint;
  };
}
