import { createHash, timingSafeEqual } from 'node:crypto';

const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Name of the operator whose key the header carries; undefined when no key matches. */
export function findOperator(
  operatorKeys: Readonly<Record<string, string>>,
  authorization: string | undefined,
): string | undefined {
  const given = sha256(authorization ?? '');
  // Every key is compared, so that the time taken does not depend on which one matches.
  const matches = Object.entries(operatorKeys).filter(([, key]) =>
    timingSafeEqual(given, sha256(`Bearer ${key}`)),
  );
  return matches[0]?.[0];
}
