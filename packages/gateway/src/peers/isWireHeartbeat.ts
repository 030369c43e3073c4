import { decodeWholeNumber } from '@camphorbarrow/core';
import { isStoreRevision } from '../model/isStoreRevision.js';
import { MESSAGE_VERSION } from './WireHeartbeat.js';
import type { WireHeartbeat, WirePartEvidence } from './WireHeartbeat.js';

const HOST_STATES: readonly string[] = ['starting', 'ready', 'draining', 'closing'];

function isWirePartEvidence(value: unknown): value is WirePartEvidence {
  const evidence = value as Partial<WirePartEvidence> | null;
  return (
    Array.isArray(evidence?.crashes) &&
    Array.isArray(evidence.served) &&
    evidence.crashes.every(
      ([crashId, ageMs, parts, trialParts]) =>
        typeof crashId === 'string' &&
        Number.isFinite(ageMs) &&
        Array.isArray(parts) &&
        Array.isArray(trialParts),
    ) &&
    evidence.served.every(([part, ageMs]) => typeof part === 'string' && Number.isFinite(ageMs))
  );
}

function isWireLimits(value: unknown): value is NonNullable<WireHeartbeat['limits']> {
  return (
    Array.isArray(value) &&
    value.every(
      ([server, requestsPerSecond, ageMs]) =>
        typeof server === 'string' &&
        (requestsPerSecond === null || Number.isFinite(requestsPerSecond)) &&
        Number.isFinite(ageMs),
    )
  );
}

function isWireVersions(value: unknown): value is NonNullable<WireHeartbeat['vers']> {
  return (
    Array.isArray(value) &&
    value.every(
      (row) =>
        Array.isArray(row) &&
        typeof row[0] === 'string' &&
        typeof row[1] === 'string' &&
        Number.isFinite(row[2]) &&
        row[2] >= 0,
    )
  );
}

function isEcho(value: unknown): boolean {
  const { sentAtMs, heldMs } = (value ?? {}) as Record<string, unknown>;
  return Number.isFinite(sentAtMs) && Number.isFinite(heldMs);
}

/** Whether a message has the fields of a heartbeat. Its host and its rows are checked later. */
export function isWireHeartbeat(value: unknown): value is WireHeartbeat {
  const message = value as Partial<WireHeartbeat> | null;
  return (
    typeof message === 'object' &&
    message !== null &&
    message.v === MESSAGE_VERSION &&
    typeof message.inc === 'string' &&
    Number.isFinite(message.at) &&
    (message.echo === undefined || isEcho(message.echo)) &&
    isStoreRevision(decodeWholeNumber(message.rev)) &&
    (message.era === undefined || isStoreRevision(decodeWholeNumber(message.era))) &&
    (message.cfg === undefined || Number.isFinite(message.cfg)) &&
    (message.cfgx === undefined || decodeWholeNumber(message.cfgx) !== undefined) &&
    HOST_STATES.includes(message.state ?? '') &&
    (message.closes === undefined || Number.isFinite(message.closes)) &&
    Array.isArray(message.load) &&
    Array.isArray(message.cap) &&
    (message.fails === undefined || Array.isArray(message.fails)) &&
    Array.isArray(message.crash) &&
    (message.parts === undefined || isWirePartEvidence(message.parts)) &&
    (message.trials === undefined || Array.isArray(message.trials)) &&
    (message.limits === undefined || isWireLimits(message.limits)) &&
    (message.rej === undefined || Array.isArray(message.rej)) &&
    (message.vers === undefined || isWireVersions(message.vers)) &&
    (message.hist === undefined || typeof message.hist === 'boolean')
  );
}
