import { asId, decodeWholeNumber, encodeWholeNumber } from '@camphorbarrow/core';
import type {
  PartCrashReport,
  PartEvidence,
  PartServedReport,
  ServerId,
} from '@camphorbarrow/core';
import type { VersionReport } from '../streams/createVersionHistory.js';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { ConfigurationVersion } from '../model/RoutingTable.js';
import { parseHostRegistration } from '../model/parseHostRegistration.js';
import { isWireHeartbeat } from './isWireHeartbeat.js';
import type { HeartbeatEcho, HostLoad, PeerHeartbeat } from './PeerHeartbeat.js';
import { usableRows } from './usableRows.js';
import { MESSAGE_VERSION } from './WireHeartbeat.js';
import type { WireHeartbeat, WirePartEvidence } from './WireHeartbeat.js';

function encodePartEvidence({ crashes, served }: PartEvidence): WirePartEvidence | undefined {
  return crashes.length === 0 && served.length === 0
    ? undefined
    : {
        crashes: crashes.map(({ crashId, ageMs, parts, trialParts }) => [
          crashId,
          ageMs,
          parts,
          trialParts,
        ]),
        served: served.map(({ part, ageMs }) => [part, ageMs]),
      };
}

function decodePartEvidence(evidence: WirePartEvidence | undefined): PartEvidence {
  return {
    crashes: (evidence?.crashes ?? []).map(
      ([crashId, ageMs, parts, trialParts]): PartCrashReport => ({
        crashId,
        ageMs,
        parts,
        trialParts,
      }),
    ),
    served: (evidence?.served ?? []).map(([part, ageMs]): PartServedReport => ({ part, ageMs })),
  };
}

/** Fields that a heartbeat to a host of another region leaves out or changes. */
export type LocalFields = Pick<
  PeerHeartbeat,
  'loads' | 'paces' | 'outcomes' | 'serverLimits' | 'rejectionLimits' | 'partEvidence'
>;

/** Encodes a heartbeat for one host. */
export type EncodeHeartbeat = (echo: HeartbeatEcho | undefined) => Buffer;

/**
 * Fields that are new in each heartbeat. They come last, so that a receiver recognizes what it has
 * decoded before (`createHeartbeatDecoder`).
 */
type ProgressField = 'at' | 'rev' | 'era' | 'echo';

function encodeProgress({
  sentAtMs,
  storePosition: { era, revision },
}: Pick<PeerHeartbeat, 'sentAtMs' | 'storePosition'>): string {
  const message: Pick<WireHeartbeat, 'at' | 'rev' | 'era'> = {
    at: sentAtMs,
    rev: encodeWholeNumber(revision),
    ...(era === 0 ? {} : { era: encodeWholeNumber(era) }),
  };
  return JSON.stringify(message);
}

/** Hosts of earlier builds drop a heartbeat whose version is not a number. */
function encodeVersion(version: ConfigurationVersion): Pick<WireHeartbeat, 'cfg' | 'cfgx'> {
  if (typeof version === 'bigint') {
    return { cfgx: version.toString() };
  }
  return version === 0 ? {} : { cfg: version };
}

function encodeSharedFields(heartbeat: Omit<PeerHeartbeat, 'echo' | keyof LocalFields>): string {
  const message: Omit<
    WireHeartbeat,
    ProgressField | 'load' | 'fails' | 'limits' | 'rej' | 'parts'
  > = {
    v: MESSAGE_VERSION,
    host: heartbeat.host,
    inc: heartbeat.incarnation,
    state: heartbeat.state,
    ...(heartbeat.closesInMs === undefined ? {} : { closes: Math.floor(heartbeat.closesInMs) }),
    ...encodeVersion(heartbeat.configurationVersion),
    cap: [...heartbeat.capacity].map(([service, capacity]) => [
      service,
      Math.round(capacity.queueMs),
      capacity.msPerToken,
      Math.round(capacity.msPerEvent),
      capacity.usableServers,
      Number(capacity.slotUsageRatio.toFixed(2)),
      capacity.running,
    ]),
    crash: heartbeat.crashes,
    ...(heartbeat.partTrials.length === 0 ? {} : { trials: heartbeat.partTrials }),
    ...(heartbeat.versions === undefined || heartbeat.versions.length === 0
      ? {}
      : {
          vers: heartbeat.versions.map(({ service, version, ageMs }) => [service, version, ageMs]),
        }),
    ...(heartbeat.knowsVersions === undefined ? {} : { hist: heartbeat.knowsVersions }),
  };
  return JSON.stringify(message);
}

function encodeLocalFields(fields: LocalFields): string {
  const { loads, paces, outcomes, serverLimits, rejectionLimits = [], partEvidence } = fields;
  const parts = encodePartEvidence(partEvidence);
  const message: Pick<WireHeartbeat, 'load' | 'fails' | 'limits' | 'rej' | 'parts'> = {
    load: [...loads].map(([id, { running, pendingTokens }]) => {
      const pace = paces.get(id);
      // Most streams have had their first event, and leave a count of 0.
      const pending = [...pendingTokens].filter(([, tokens]) => tokens !== 0);
      return pace === undefined ? [id, running, pending] : [id, running, pending, Math.round(pace)];
    }),
    ...(outcomes === undefined || outcomes.size === 0
      ? {}
      : {
          fails: [...outcomes].map(([id, { count, failures }]) => [
            id,
            Number(count.toFixed(1)),
            Number(failures.toFixed(1)),
          ]),
        }),
    ...(parts === undefined ? {} : { parts }),
    ...(serverLimits.length === 0
      ? {}
      : {
          limits: serverLimits.map(({ server, requestsPerSecond, ageMs }) => [
            server,
            requestsPerSecond ?? null,
            ageMs,
          ]),
        }),
    ...(rejectionLimits.length === 0
      ? {}
      : {
          rej: rejectionLimits.map(({ server, service, maxRejectionsPerSecond, ageMs }) => [
            server,
            service,
            maxRejectionsPerSecond ?? null,
            ageMs,
          ]),
        }),
  };
  return JSON.stringify(message);
}

/**
 * Creates an encoder for a heartbeat that goes to several hosts at once. Those of a region differ only
 * in the echo, those of different regions also in the local fields, so the rest is encoded once.
 *
 * @returns a function that creates the encoder for hosts that get these local fields
 */
export function createRoundEncoder(
  heartbeat: Omit<PeerHeartbeat, 'echo' | keyof LocalFields>,
): (fields: LocalFields) => EncodeHeartbeat {
  const shared = encodeSharedFields(heartbeat);
  const progress = encodeProgress(heartbeat);
  return (fields) => {
    const local = encodeLocalFields(fields);
    const text = `${shared.slice(0, -1)},${local.slice(1, -1)},${progress.slice(1)}`;
    const whole = Buffer.from(text);
    const withoutBrace = whole.subarray(0, -1);
    return (echo) =>
      echo === undefined
        ? whole
        : Buffer.concat([withoutBrace, Buffer.from(`,"echo":${JSON.stringify(echo)}}`)]);
  };
}

/** Creates an encoder for sending a heartbeat to several hosts, which differ only in the echo. */
export const createHeartbeatEncoder = (heartbeat: Omit<PeerHeartbeat, 'echo'>): EncodeHeartbeat =>
  createRoundEncoder(heartbeat)(heartbeat);

const NO_PENDING_TOKENS: HostLoad['pendingTokens'] = new Map();

function decodeLoads(rows: WireHeartbeat['load']): Pick<PeerHeartbeat, 'loads' | 'paces'> {
  const loads = new Map<ServerId, HostLoad>();
  const paces = new Map<ServerId, number>();
  rows.forEach((row) => {
    const pendingTokens = row[2].length === 0 ? NO_PENDING_TOKENS : new Map(row[2]);
    loads.set(row[0], { running: row[1], pendingTokens });
    if (row[3] !== undefined) {
      paces.set(row[0], row[3]);
    }
  });
  return { loads, paces };
}

/** @throws InvalidMessageError if the datagram is not a valid heartbeat of this version */
export function decodeHeartbeat(datagram: Buffer): PeerHeartbeat {
  let message: unknown;
  try {
    message = JSON.parse(datagram.toString());
  } catch (error) {
    throw new InvalidMessageError('The heartbeat is not valid JSON.', { cause: error });
  }
  if (!isWireHeartbeat(message)) {
    throw new InvalidMessageError('The heartbeat has missing or malformed fields.');
  }
  const rows = usableRows(message);
  return {
    host: parseHostRegistration(message.host),
    incarnation: message.inc,
    sentAtMs: message.at,
    echo: message.echo,
    state: message.state,
    ...(message.closes === undefined ? {} : { closesInMs: message.closes }),
    storePosition: {
      era: decodeWholeNumber(message.era) ?? 0,
      revision: decodeWholeNumber(message.rev) ?? 0,
    },
    configurationVersion: decodeWholeNumber(message.cfgx) ?? message.cfg ?? 0,
    ...decodeLoads(rows.load),
    ...(rows.fails.length === 0
      ? {}
      : {
          outcomes: new Map(rows.fails.map(([id, count, failures]) => [id, { count, failures }])),
        }),
    capacity: new Map(
      rows.cap.map(([service, ...figures]) => {
        const [queueMs, msPerToken, msPerEvent, usableServers, slotUsageRatio, running] = figures;
        return [
          service,
          { queueMs, msPerToken, msPerEvent, usableServers, slotUsageRatio, running },
        ];
      }),
    ),
    crashes: rows.crash,
    partEvidence: decodePartEvidence(message.parts),
    partTrials: message.trials ?? [],
    serverLimits: (message.limits ?? []).map(([server, requestsPerSecond, ageMs]) => ({
      server,
      requestsPerSecond: requestsPerSecond ?? undefined,
      ageMs,
    })),
    ...(rows.rej.length === 0
      ? {}
      : {
          rejectionLimits: rows.rej.map(([server, service, limit, ageMs]) => ({
            server,
            service,
            maxRejectionsPerSecond: limit ?? undefined,
            ageMs,
          })),
        }),
    ...(message.vers === undefined
      ? {}
      : {
          versions: message.vers.map(([service, version, ageMs]) => ({
            service: asId<VersionReport['service']>(service),
            version: asId<VersionReport['version']>(version),
            ageMs,
          })),
        }),
    ...(message.hist === undefined ? {} : { knowsVersions: message.hist }),
  };
}
