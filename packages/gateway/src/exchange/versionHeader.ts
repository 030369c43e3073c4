import { asId } from '@camphorbarrow/core';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';

/** Formats a version, which may be any text, as the value of a relay header. */
export const formatVersion = (version: SoftwareVersion): string =>
  encodeURIComponent(JSON.stringify(version));

/** Parses the value of a relay header; undefined if it is absent or malformed. */
export function parseVersion(
  value: string | readonly string[] | undefined,
): SoftwareVersion | undefined {
  if (typeof value !== 'string') {
    return undefined;
  }
  try {
    const version: unknown = JSON.parse(decodeURIComponent(value));
    return typeof version === 'string' ? asId<SoftwareVersion>(version) : undefined;
  } catch {
    return undefined;
  }
}
