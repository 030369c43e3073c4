import { asId } from '@camphorbarrow/core';
import type {
  CrashReport,
  PartCrashReport,
  PartEvidence,
  PartServedReport,
  PromptPartKey,
  ServerId,
} from '@camphorbarrow/core';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { HeartbeatEcho, HostState, PeerHeartbeat } from './PeerHeartbeat.js';

/** Version of the message format. Messages with another version are rejected. */
const MESSAGE_VERSION = 1;

/** `queueMs`, `msPerToken`, `msPerEvent`, `usableServers`, `slotUsageRatio`, `running`. */
type CapacityFigures = readonly [number, number, number, number, number, number];

interface WireHeartbeat {
  readonly v: number;
  readonly host: HostRegistration;
  readonly inc: string;
  readonly at: number;
  readonly echo?: HeartbeatEcho;
  readonly state: HostState;
  readonly rev: number;
  /** Era of `rev`; omitted if it is 0. */
  readonly era?: number;
  /** Version of the configuration in force; omitted if there is none. */
  readonly cfg?: number;
  /** Server, running requests, pending prompt tokens by rank, and the pace if there is one. */
  readonly load: readonly (readonly [
    ServerId,
    number,
    readonly (readonly [number, number])[],
    number?,
  ])[];
  readonly cap: readonly (readonly [ServiceName, ...CapacityFigures])[];
  readonly crash: readonly CrashReport[];
  /** Crashes and responses by prompt part; omitted if there are none. */
  readonly parts?: WirePartEvidence;
  /** Suspected prompt parts on trial; omitted if there are none. */
  readonly trials?: readonly PromptPartKey[];
  /** Server, its limit in requests per second or null, and age in ms; omitted if there are none. */
  readonly limits?: readonly (readonly [string, number | null, number])[];
}

interface WirePartEvidence {
  /** Crash id, age in ms, parts, and those of them that were on trial. */
  readonly crashes: readonly (readonly [
    string,
    number,
    readonly PromptPartKey[],
    readonly PromptPartKey[],
  ])[];
  /** Part and age of its latest response in ms. */
  readonly served: readonly (readonly [PromptPartKey, number])[];
}

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

function isWireHeartbeat(value: unknown): value is WireHeartbeat {
  const message = value as Partial<WireHeartbeat> | null;
  return (
    typeof message === 'object' &&
    message !== null &&
    message.v === MESSAGE_VERSION &&
    typeof message.host?.id === 'string' &&
    typeof message.host.region === 'string' &&
    typeof message.host.callers?.port === 'number' &&
    typeof message.host.peers?.port === 'number' &&
    typeof message.inc === 'string' &&
    typeof message.at === 'number' &&
    typeof message.rev === 'number' &&
    (message.era === undefined || typeof message.era === 'number') &&
    (message.cfg === undefined || typeof message.cfg === 'number') &&
    HOST_STATES.includes(message.state ?? '') &&
    Array.isArray(message.load) &&
    Array.isArray(message.cap) &&
    Array.isArray(message.crash) &&
    (message.parts === undefined || isWirePartEvidence(message.parts)) &&
    (message.trials === undefined || Array.isArray(message.trials)) &&
    (message.limits === undefined || isWireLimits(message.limits))
  );
}

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

/** Creates an encoder for sending a heartbeat to several hosts, which differ only in the echo. */
export function createHeartbeatEncoder(
  heartbeat: Omit<PeerHeartbeat, 'echo'>,
): (echo: HeartbeatEcho | undefined) => Buffer {
  const parts = encodePartEvidence(heartbeat.partEvidence);
  const message: WireHeartbeat = {
    v: MESSAGE_VERSION,
    host: heartbeat.host,
    inc: heartbeat.incarnation,
    at: heartbeat.sentAtMs,
    state: heartbeat.state,
    rev: heartbeat.storePosition.revision,
    ...(heartbeat.storePosition.era === 0 ? {} : { era: heartbeat.storePosition.era }),
    ...(heartbeat.configurationVersion === 0 ? {} : { cfg: heartbeat.configurationVersion }),
    load: [...heartbeat.loads].map(([id, { running, pendingTokens }]) => {
      const pace = heartbeat.paces.get(id);
      return pace === undefined
        ? [id, running, [...pendingTokens]]
        : [id, running, [...pendingTokens], Math.round(pace)];
    }),
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
    ...(parts === undefined ? {} : { parts }),
    ...(heartbeat.partTrials.length === 0 ? {} : { trials: heartbeat.partTrials }),
    ...(heartbeat.serverLimits.length === 0
      ? {}
      : {
          limits: heartbeat.serverLimits.map(({ server, requestsPerSecond, ageMs }) => [
            server,
            requestsPerSecond ?? null,
            ageMs,
          ]),
        }),
  };
  const common = JSON.stringify(message);
  return (echo) =>
    Buffer.from(
      echo === undefined ? common : `${common.slice(0, -1)},"echo":${JSON.stringify(echo)}}`,
    );
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
  return {
    host: { ...message.host, id: asId(message.host.id) },
    incarnation: message.inc,
    sentAtMs: message.at,
    echo: message.echo,
    state: message.state,
    storePosition: { era: message.era ?? 0, revision: message.rev },
    configurationVersion: message.cfg ?? 0,
    loads: new Map(
      message.load.map(([id, running, pendingTokens]) => [
        id,
        { running, pendingTokens: new Map(pendingTokens) },
      ]),
    ),
    paces: new Map(
      message.load.flatMap(([id, , , pace]) => (pace === undefined ? [] : [[id, pace] as const])),
    ),
    capacity: new Map(
      message.cap.map(([service, ...figures]) => {
        const [queueMs, msPerToken, msPerEvent, usableServers, slotUsageRatio, running] = figures;
        return [
          service,
          { queueMs, msPerToken, msPerEvent, usableServers, slotUsageRatio, running },
        ];
      }),
    ),
    crashes: message.crash,
    partEvidence: decodePartEvidence(message.parts),
    partTrials: message.trials ?? [],
    serverLimits: (message.limits ?? []).map(([server, requestsPerSecond, ageMs]) => ({
      server,
      requestsPerSecond: requestsPerSecond ?? undefined,
      ageMs,
    })),
  };
}
