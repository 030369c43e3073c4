import { asId, fingerprintOf } from '@camphorbarrow/core';
import type { Fingerprint } from '@camphorbarrow/core';

/** Not a secret: entry hosts compare fingerprints with each other and share no secret. */
const FINGERPRINT_KEY = 'request';
/** Half of the hash: heartbeats with many crash reports must fit into a datagram. */
const FINGERPRINT_LENGTH = 32;

/** Creates a function that hashes a request on its first call and caches the result. */
export function createFingerprint(method: string, target: string, body: Buffer): () => Fingerprint {
  let fingerprint: Fingerprint | undefined;
  return () => {
    fingerprint ??= asId<Fingerprint>(
      fingerprintOf(FINGERPRINT_KEY, method, target, body.toString('latin1')).slice(
        0,
        FINGERPRINT_LENGTH,
      ),
    );
    return fingerprint;
  };
}
