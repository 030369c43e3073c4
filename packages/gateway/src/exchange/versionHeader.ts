import { asId } from '@camphorbarrow/core';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { ResponseVersion } from '../streams/VersionClaim.js';

/** A claim to a version, as the value of a relay header. Hosts that know no claims ignore it. */
interface WireClaim {
  readonly version: string;
  readonly server: string;
  readonly startedAtMs?: number | undefined;
  readonly confirmingSequence: number;
  readonly connectedAgeMs: number;
}

const encode = (value: string | WireClaim): string => encodeURIComponent(JSON.stringify(value));

function decode(value: string | readonly string[] | undefined): unknown {
  if (typeof value !== 'string') {
    return undefined;
  }
  try {
    return JSON.parse(decodeURIComponent(value));
  } catch {
    return undefined;
  }
}

function isWireClaim(value: unknown): value is WireClaim {
  const { version, server, startedAtMs, confirmingSequence, connectedAgeMs } = (value ??
    {}) as Partial<WireClaim>;
  return (
    typeof version === 'string' &&
    typeof server === 'string' &&
    (startedAtMs === undefined || Number.isFinite(startedAtMs)) &&
    Number.isFinite(confirmingSequence) &&
    Number.isFinite(connectedAgeMs) &&
    Number(connectedAgeMs) >= 0
  );
}

/** Formats a version, which may be any text, as the value of a relay header. */
export const formatVersion = (version: SoftwareVersion): string => encode(version);

/** Parses the value of a relay header; undefined if it is absent or malformed. */
export function parseVersion(
  value: string | readonly string[] | undefined,
): SoftwareVersion | undefined {
  const version = decode(value);
  return typeof version === 'string' ? asId<SoftwareVersion>(version) : undefined;
}

/**
 * Formats the version that writes a response as the value of a relay header.
 *
 * @param nowMs monotonic time of this host
 */
export function formatResponseVersion({ version, claim }: ResponseVersion, nowMs: number): string {
  return claim === undefined
    ? formatVersion(version)
    : encode({
        version,
        server: claim.server,
        startedAtMs: claim.startedAtMs,
        confirmingSequence: claim.confirmingSequence,
        connectedAgeMs: Math.max(0, nowMs - claim.connectedAtMs),
      });
}

/**
 * Parses the value of a relay header; undefined if it is absent or malformed.
 *
 * @param nowMs monotonic time of this host
 */
export function parseResponseVersion(
  value: string | readonly string[] | undefined,
  nowMs: number,
): ResponseVersion | undefined {
  const certain = parseVersion(value);
  if (certain !== undefined) {
    return { version: certain, claim: undefined };
  }
  const wire = decode(value);
  if (!isWireClaim(wire)) {
    return undefined;
  }
  const version = asId<SoftwareVersion>(wire.version);
  return {
    version,
    claim: {
      server: asId(wire.server),
      version,
      startedAtMs: wire.startedAtMs,
      confirmingSequence: wire.confirmingSequence,
      connectedAtMs: nowMs - wire.connectedAgeMs,
    },
  };
}
